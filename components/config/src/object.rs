//! Configuration objects and their keys.

use std::fmt;

use lycheelatch_prelude::Name;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{PlacementRule, Service, Snapshot, Workspace};

/// Kind of a configuration object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A service.
    Service,
    /// A workspace.
    Workspace,
    /// A placement rule.
    Rule,
}

impl ObjectKind {
    /// All kinds, in the order in which documents list them.
    pub const ALL: [ObjectKind; 3] = [ObjectKind::Service, ObjectKind::Workspace, ObjectKind::Rule];

    /// Returns the name of the document field that lists objects of this kind.
    pub fn plural(self) -> &'static str {
        match self {
            ObjectKind::Service => "services",
            ObjectKind::Workspace => "workspaces",
            ObjectKind::Rule => "rules",
        }
    }
}

/// Unique key of an object: its kind and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object, unique within its kind.
    pub name: Name,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}[{}]", self.kind.plural(), self.name)
    }
}

/// A configuration object of any kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Object {
    /// A service.
    Service(Service),
    /// A workspace.
    Workspace(Workspace),
    /// A placement rule.
    Rule(PlacementRule),
}

impl Object {
    /// Returns the key of the object.
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Object::Service(service) => (ObjectKind::Service, service.name.as_str()),
            Object::Workspace(workspace) => (ObjectKind::Workspace, workspace.name.as_str()),
            Object::Rule(rule) => (ObjectKind::Rule, rule.name.as_str()),
        };
        let name = name.parse().expect("the name of an object is a valid name");
        ObjectKey { kind, name }
    }

    /// Returns the object as JSON for operators, with each token replaced by its short id.
    pub fn view(&self) -> Value {
        match self {
            Object::Service(service) => json!(service),
            Object::Rule(rule) => json!(rule),
            Object::Workspace(workspace) => view_workspace(workspace),
        }
    }
}

fn view_workspace(workspace: &Workspace) -> Value {
    let tokens: Vec<Value> =
        workspace.tokens.iter().map(|token| json!({ "id": token.id() })).collect();
    let mut view = json!(Workspace { tokens: Vec::new(), ..workspace.clone() });
    view["tokens"] = tokens.into();
    view
}

/// Reference to an object in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ObjectRef<'a> {
    Service(&'a Service),
    Workspace(&'a Workspace),
    Rule(&'a PlacementRule),
}

impl ObjectRef<'_> {
    pub(crate) fn kind(self) -> ObjectKind {
        match self {
            ObjectRef::Service(_) => ObjectKind::Service,
            ObjectRef::Workspace(_) => ObjectKind::Workspace,
            ObjectRef::Rule(_) => ObjectKind::Rule,
        }
    }

    pub(crate) fn name(&self) -> &str {
        match self {
            ObjectRef::Service(service) => service.name.as_str(),
            ObjectRef::Workspace(workspace) => workspace.name.as_str(),
            ObjectRef::Rule(rule) => rule.name.as_str(),
        }
    }

    pub(crate) fn to_object(self) -> Object {
        match self {
            ObjectRef::Service(service) => Object::Service(service.clone()),
            ObjectRef::Workspace(workspace) => Object::Workspace(workspace.clone()),
            ObjectRef::Rule(rule) => Object::Rule(rule.clone()),
        }
    }

    /// Returns the object with the same key in `other`.
    pub(crate) fn counterpart_in(self, other: &Snapshot) -> Option<ObjectRef<'_>> {
        match self {
            ObjectRef::Service(s) => other.services.get(&s.name).map(ObjectRef::Service),
            ObjectRef::Workspace(w) => other.workspaces.get(&w.name).map(ObjectRef::Workspace),
            ObjectRef::Rule(r) => other.rules.get(&r.name).map(ObjectRef::Rule),
        }
    }
}

impl Snapshot {
    /// Returns all objects, ordered by kind and name.
    pub fn objects(&self) -> impl Iterator<Item = Object> {
        self.object_refs().map(ObjectRef::to_object)
    }

    /// Returns references to all objects, ordered by kind and name.
    pub(crate) fn object_refs(&self) -> impl Iterator<Item = ObjectRef<'_>> {
        let services = self.services.values().map(ObjectRef::Service);
        let workspaces = self.workspaces.values().map(ObjectRef::Workspace);
        let rules = self.rules.values().map(ObjectRef::Rule);
        services.chain(workspaces).chain(rules)
    }

    /// Returns the object with the key `key`.
    pub fn object(&self, key: &ObjectKey) -> Option<Object> {
        let name = key.name.as_str();
        match key.kind {
            ObjectKind::Service => self.services.get(name).cloned().map(Object::Service),
            ObjectKind::Workspace => self.workspaces.get(name).cloned().map(Object::Workspace),
            ObjectKind::Rule => self.rules.get(&key.name).cloned().map(Object::Rule),
        }
    }

    /// Adds an object, or replaces the object with the same key.
    pub fn put(&mut self, object: Object) {
        match object {
            Object::Service(service) => {
                self.services.insert(service.name.clone(), service);
            }
            Object::Workspace(workspace) => {
                self.workspaces.insert(workspace.name.clone(), workspace);
            }
            Object::Rule(rule) => {
                self.rules.insert(rule.name.clone(), rule);
            }
        }
    }

    /// Removes the object with the key `key` and returns whether it existed.
    pub fn remove(&mut self, key: &ObjectKey) -> bool {
        let name = key.name.as_str();
        match key.kind {
            ObjectKind::Service => self.services.remove(name).is_some(),
            ObjectKind::Workspace => self.workspaces.remove(name).is_some(),
            ObjectKind::Rule => self.rules.remove(&key.name).is_some(),
        }
    }
}

impl FromIterator<Object> for Snapshot {
    fn from_iter<T: IntoIterator<Item = Object>>(iter: T) -> Snapshot {
        let mut snapshot = Snapshot::default();
        iter.into_iter().for_each(|object| snapshot.put(object));
        snapshot
    }
}
