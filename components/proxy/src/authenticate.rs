//! Finds the workspace of a bearer token.

use std::{collections::HashMap, sync::Mutex};

use async_trait::async_trait;
use lycheelatch_prelude::{Revision, WorkspaceName};
use sha2::{Digest, Sha256};

use crate::{Filter, Flow, Record, Refusal, RefusalReason};

/// Most tokens whose workspace is remembered.
const MAX_REMEMBERED: usize = 10_000;

type TokenDigest = [u8; 32];

/// Finds the workspace of a bearer token and remembers it for one revision.
#[derive(Default)]
pub(crate) struct Authenticate {
    found: Mutex<Found>,
}

#[derive(Default)]
struct Found {
    revision: Revision,
    workspaces: HashMap<TokenDigest, WorkspaceName>,
}

impl Authenticate {
    fn remembered(&self, revision: Revision, digest: &TokenDigest) -> Option<WorkspaceName> {
        let found = self.found.lock().unwrap();
        if found.revision != revision {
            return None;
        }
        found.workspaces.get(digest).cloned()
    }

    fn remember(&self, revision: Revision, digest: TokenDigest, name: WorkspaceName) {
        let mut found = self.found.lock().unwrap();
        if found.revision != revision || found.workspaces.len() >= MAX_REMEMBERED {
            found.workspaces.clear();
            found.revision = revision;
        }
        found.workspaces.insert(digest, name);
    }
}

#[async_trait(?Send)]
impl Filter for Authenticate {
    async fn apply(&self, rec: &mut Record) -> Result<Flow, Refusal> {
        let unauthorized = || Refusal::not_run(RefusalReason::Unauthorized);
        let token = rec.head.token.take().ok_or_else(unauthorized)?;
        let digest: TokenDigest = Sha256::digest(&token).into();
        let revision = rec.config.revision;
        if let Some(name) = self.remembered(revision, &digest) {
            rec.workspace = rec.config.workspaces.get(&name).cloned();
            return Ok(Flow::Continue);
        }
        let workspace = rec.config.workspace_of_token(&token).ok_or_else(unauthorized)?.clone();
        self.remember(revision, digest, workspace.name.clone());
        rec.workspace = Some(workspace);
        Ok(Flow::Continue)
    }
}
