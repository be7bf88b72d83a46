//! Request and response types of the operator API.

use lycheelatch_config::{
    Applied, ApplyEffect, ObjectChange, ObjectKey, ObjectKind, Plan, Snapshot,
};
use lycheelatch_prelude::{ChangeId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Body of `POST /v1/apply`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// How to apply the change.
    #[serde(default)]
    pub options: ChangeOptions,
    /// Objects to add or to replace.
    pub document: Value,
}

/// Body of `POST /v1/delete`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeleteRequest {
    /// How to apply the change.
    #[serde(default)]
    pub options: ChangeOptions,
    /// Objects to remove.
    pub objects: Vec<ObjectKey>,
}

/// How a change is to be applied.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChangeOptions {
    /// Identity of the change; the node generates one if absent.
    pub change_id: Option<ChangeId>,
    /// Revision that must be the latest one; not checked if absent.
    pub expect_revision: Option<Revision>,
    /// Whether to report the effect of the change without applying it.
    pub dry_run: bool,
}

/// Response of `POST /v1/apply` and `POST /v1/delete`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Effect of the call.
    pub effect: ChangeEffect,
    /// Revision at which the change is in effect, or that it would create after a dry run.
    pub revision: Revision,
    /// Changed objects; tokens are shown only by their short ids.
    pub changes: Vec<ObjectChange>,
}

/// Effect of a call that changes the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeEffect {
    /// The call committed the change.
    Committed,
    /// The configuration already matched, and no revision was created.
    Unchanged,
    /// An earlier call committed the change.
    AlreadyApplied,
    /// The call only computed the effect of the change.
    DryRun,
}

impl From<Applied> for ChangeResponse {
    fn from(applied: Applied) -> ChangeResponse {
        let effect = match applied.effect {
            ApplyEffect::Committed => ChangeEffect::Committed,
            ApplyEffect::Unchanged => ChangeEffect::Unchanged,
            ApplyEffect::AlreadyApplied => ChangeEffect::AlreadyApplied,
        };
        ChangeResponse { effect, revision: applied.revision, changes: applied.changes }
    }
}

impl From<Plan> for ChangeResponse {
    fn from(plan: Plan) -> ChangeResponse {
        let effect = ChangeEffect::DryRun;
        ChangeResponse { effect, revision: plan.snapshot.revision, changes: plan.changes }
    }
}

/// Response of `GET /v1/objects`, with a document that can be applied again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectsResponse {
    /// Revision in force on the node.
    pub revision: Revision,
    /// The objects.
    pub document: ObjectsDocument,
}

/// Objects by kind, in the form shown to operators.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ObjectsDocument {
    /// Services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Value>,
    /// Workspaces; tokens are shown only by their short ids.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Value>,
    /// Placement rules.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<Value>,
}

impl ObjectsResponse {
    /// Returns the objects of a snapshot that `is_selected`.
    pub(crate) fn new(snapshot: &Snapshot, is_selected: impl Fn(&ObjectKey) -> bool) -> Self {
        let mut document = ObjectsDocument::default();
        for object in snapshot.objects() {
            let key = object.key();
            if is_selected(&key) {
                document.list_mut(key.kind).push(object.view());
            }
        }
        ObjectsResponse { revision: snapshot.revision, document }
    }
}

impl ObjectsDocument {
    fn list_mut(&mut self, kind: ObjectKind) -> &mut Vec<Value> {
        match kind {
            ObjectKind::Service => &mut self.services,
            ObjectKind::Workspace => &mut self.workspaces,
            ObjectKind::Rule => &mut self.rules,
        }
    }

    /// Returns the objects of a kind.
    pub fn list(&self, kind: ObjectKind) -> &[Value] {
        match kind {
            ObjectKind::Service => &self.services,
            ObjectKind::Workspace => &self.workspaces,
            ObjectKind::Rule => &self.rules,
        }
    }

    /// Returns whether there is no object.
    pub fn is_empty(&self) -> bool {
        ObjectKind::ALL.iter().all(|kind| self.list(*kind).is_empty())
    }
}

/// Response of `GET /v1/diff`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DiffResponse {
    /// The earlier revision.
    pub from: Revision,
    /// The later revision.
    pub to: Revision,
    /// Objects that differ, with their state at both revisions.
    pub changes: Vec<ObjectChange>,
}

/// Response of `GET /v1/version`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionResponse {
    /// Version of the program.
    pub version: String,
}
