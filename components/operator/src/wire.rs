//! Requests and answers of the operator API.

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
    /// How to apply it.
    #[serde(default)]
    pub options: ChangeOptions,
    /// Objects to add or to replace.
    pub document: Value,
}

/// Body of `POST /v1/delete`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeleteRequest {
    /// How to apply it.
    #[serde(default)]
    pub options: ChangeOptions,
    /// Objects to remove.
    pub objects: Vec<ObjectKey>,
}

/// How a change is to be applied.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChangeOptions {
    /// Identity of the change; none: the node makes one.
    pub change_id: Option<ChangeId>,
    /// Revision that the change must build on; none: the latest one.
    pub expect_revision: Option<Revision>,
    /// Whether only to say what the change would do.
    pub dry_run: bool,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// What the call did.
    pub effect: ChangeEffect,
    /// Revision at which the change holds, or that a dry run would make.
    pub revision: Revision,
    /// What it changed; tokens appear by their short ids only.
    pub changes: Vec<ObjectChange>,
}

/// What a call that changes the configuration did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeEffect {
    /// It committed the change.
    Committed,
    /// The configuration was so already, and no revision was made.
    Unchanged,
    /// An earlier call had committed the change.
    AlreadyApplied,
    /// It only worked out what the change would do.
    DryRun,
}

impl From<Applied> for ChangeAnswer {
    fn from(applied: Applied) -> ChangeAnswer {
        let effect = match applied.effect {
            ApplyEffect::Committed => ChangeEffect::Committed,
            ApplyEffect::Unchanged => ChangeEffect::Unchanged,
            ApplyEffect::AlreadyApplied => ChangeEffect::AlreadyApplied,
        };
        ChangeAnswer { effect, revision: applied.revision, changes: applied.changes }
    }
}

impl From<Plan> for ChangeAnswer {
    fn from(plan: Plan) -> ChangeAnswer {
        let effect = ChangeEffect::DryRun;
        ChangeAnswer { effect, revision: plan.snapshot.revision, changes: plan.changes }
    }
}

/// Answer of `GET /v1/objects`: a document that can be applied again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectsAnswer {
    /// Revision in force at the node.
    pub revision: Revision,
    /// The objects.
    pub document: ObjectsDocument,
}

/// Objects by kind, as operators see them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ObjectsDocument {
    /// Services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Value>,
    /// Workspaces; tokens appear by their short ids only.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Value>,
    /// Placement rules.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<Value>,
}

impl ObjectsAnswer {
    /// Returns the objects of a snapshot that `is_wanted`.
    pub(crate) fn new(snapshot: &Snapshot, is_wanted: impl Fn(&ObjectKey) -> bool) -> Self {
        let mut document = ObjectsDocument::default();
        for object in snapshot.objects() {
            let key = object.key();
            if is_wanted(&key) {
                document.list_mut(key.kind).push(object.view());
            }
        }
        ObjectsAnswer { revision: snapshot.revision, document }
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

/// Answer of `GET /v1/diff`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DiffAnswer {
    /// The earlier revision.
    pub from: Revision,
    /// The later revision.
    pub to: Revision,
    /// Each object that differs, as it was at both.
    pub changes: Vec<ObjectChange>,
}

/// Answer of `GET /v1/version`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAnswer {
    /// Version of the program.
    pub version: String,
}
