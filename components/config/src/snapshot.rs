//! The complete configuration at one revision.

use std::collections::BTreeMap;

use lycheelatch_prelude::{Name, Revision, ServiceName, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::{PlacementRule, Service, Workspace};

/// The complete configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision number.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
    /// Placement rules by name, applied in the order of their names.
    pub rules: BTreeMap<Name, PlacementRule>,
}

impl Snapshot {
    /// Returns the workspace that `token` belongs to.
    ///
    /// Compares with every token, so that the time taken doesn't reveal which one matched.
    pub fn workspace_of_token(&self, token: &str) -> Option<&Workspace> {
        let mut found = None;
        for workspace in self.workspaces.values() {
            for hash in &workspace.tokens {
                if hash.matches(token) {
                    found = Some(workspace);
                }
            }
        }
        found
    }

    /// Returns the placement rules that apply to a service.
    pub fn rules_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a PlacementRule> {
        self.rules.values().filter(move |rule| rule.service.as_ref().is_none_or(|s| s == service))
    }
}
