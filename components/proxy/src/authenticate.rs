//! Authentication by bearer token.

use std::{collections::HashMap, sync::Mutex};

use async_trait::async_trait;
use lycheelatch_prelude::{Revision, WorkspaceName};
use sha2::{Digest, Sha256};

use crate::{Filter, FilterDecision, Record, Refusal, RefusalReason};

/// Maximum number of tokens in the cache.
const MAX_CACHED_TOKENS: usize = 10_000;

type TokenDigest = [u8; 32];

/// Resolves bearer tokens to workspaces, cached for the current configuration revision.
#[derive(Default)]
pub(crate) struct Authenticate {
    cache: Mutex<TokenCache>,
}

#[derive(Default)]
struct TokenCache {
    revision: Revision,
    workspaces: HashMap<TokenDigest, WorkspaceName>,
}

impl Authenticate {
    fn cached(&self, revision: Revision, digest: &TokenDigest) -> Option<WorkspaceName> {
        let cache = self.cache.lock().unwrap();
        if cache.revision != revision {
            return None;
        }
        cache.workspaces.get(digest).cloned()
    }

    fn insert(&self, revision: Revision, digest: TokenDigest, name: WorkspaceName) {
        let mut cache = self.cache.lock().unwrap();
        if cache.revision != revision || cache.workspaces.len() >= MAX_CACHED_TOKENS {
            cache.workspaces.clear();
            cache.revision = revision;
        }
        cache.workspaces.insert(digest, name);
    }
}

#[async_trait(?Send)]
impl Filter for Authenticate {
    async fn apply(&self, rec: &mut Record) -> Result<FilterDecision, Refusal> {
        let unauthorized = || Refusal::not_run(RefusalReason::Unauthorized);
        let token = rec.head.token.take().ok_or_else(unauthorized)?;
        let digest: TokenDigest = Sha256::digest(&token).into();
        let revision = rec.config.revision;
        if let Some(name) = self.cached(revision, &digest) {
            rec.workspace = rec.config.workspaces.get(&name).cloned();
            return Ok(FilterDecision::Continue);
        }
        let workspace = rec.config.workspace_of_token(&token).ok_or_else(unauthorized)?.clone();
        self.insert(revision, digest, workspace.name.clone());
        rec.workspace = Some(workspace);
        Ok(FilterDecision::Continue)
    }
}
