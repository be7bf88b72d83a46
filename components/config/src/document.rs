//! Configuration documents: the JSON format in which operators submit objects.

use std::{collections::HashSet, fmt};

use lycheelatch_prelude::{InvalidValue, Labels, ServiceName, WorkspaceName};
use serde_json::Value;

use crate::{
    FleetSpec, ModelSpec, Object, PlacementRule, Service, Snapshot, TokenHash, TokenId, Warning,
    Workspace, WorkspaceLimits, fields::Fields,
};

/// Minimum length of a bearer token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// Maximum length of a bearer token, in bytes.
const MAX_TOKEN_BYTES: usize = 512;

/// A parsed configuration document.
#[derive(Debug, Clone, Default)]
pub struct Document {
    services: Vec<Service>,
    workspaces: Vec<WorkspaceInput>,
    rules: Vec<PlacementRule>,
}

/// A workspace as given in a document.
#[derive(Debug, Clone)]
struct WorkspaceInput {
    workspace: Workspace,
    /// Tokens to set; `None` keeps the existing tokens.
    tokens: Option<Vec<TokenInput>>,
}

/// A token as given in a document.
#[derive(Clone)]
enum TokenInput {
    /// A token in plain text, new or already stored.
    Plain(String),
    /// A hash computed by the operator.
    Hash(TokenHash),
    /// The short id of a token that the workspace already has.
    ExistingId(TokenId),
}

impl fmt::Debug for TokenInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenInput(..)")
    }
}

impl Document {
    /// Parses a document; returns all errors if it has any.
    pub fn from_json(text: &[u8]) -> Result<Document, Vec<InvalidValue>> {
        match serde_json::from_slice(text) {
            Ok(value) => Document::from_value(value),
            Err(err) => Err(vec![InvalidValue::new("document", "", err.to_string())]),
        }
    }

    /// Parses a document from a JSON value; returns all errors if it has any.
    pub fn from_value(value: Value) -> Result<Document, Vec<InvalidValue>> {
        let mut errors = Vec::new();
        let document = read_document(value, &mut errors);
        match document {
            Some(document) if errors.is_empty() => Ok(document),
            _ => Err(errors),
        }
    }

    /// Returns the number of objects in the document.
    pub fn len(&self) -> usize {
        self.services.len() + self.workspaces.len() + self.rules.len()
    }

    /// Returns whether the document contains no objects.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Validates the document as if it were a complete configuration.
    ///
    /// Short token ids are assumed to refer to existing tokens.
    pub fn check(&self) -> Vec<InvalidValue> {
        let mut unknown_ids = Vec::new();
        let objects = self.resolve(&Snapshot::default(), &mut unknown_ids);
        objects.into_iter().collect::<Snapshot>().validate()
    }

    /// Returns warnings about the document as if it were a complete configuration.
    pub fn warnings(&self) -> Vec<Warning> {
        let objects = self.resolve(&Snapshot::default(), &mut Vec::new());
        objects.into_iter().collect::<Snapshot>().warnings()
    }

    /// Converts the document to objects, taking existing tokens from `base`.
    pub(crate) fn resolve(&self, base: &Snapshot, errors: &mut Vec<InvalidValue>) -> Vec<Object> {
        let services = self.services.iter().cloned().map(Object::Service);
        let workspaces = self.workspaces.iter().map(|w| Object::Workspace(w.resolve(base, errors)));
        let rules = self.rules.iter().cloned().map(Object::Rule);
        services.chain(workspaces).chain(rules).collect()
    }
}

impl WorkspaceInput {
    fn resolve(&self, base: &Snapshot, errors: &mut Vec<InvalidValue>) -> Workspace {
        let existing = base.workspaces.get(self.workspace.name.as_str());
        let existing = existing.map_or(&[][..], |workspace| &workspace.tokens);
        let tokens = match &self.tokens {
            None => existing.to_vec(),
            Some(inputs) => self.resolve_tokens(inputs, existing, base, errors),
        };
        Workspace { tokens, ..self.workspace.clone() }
    }

    fn resolve_tokens(
        &self,
        inputs: &[TokenInput],
        existing: &[TokenHash],
        base: &Snapshot,
        errors: &mut Vec<InvalidValue>,
    ) -> Vec<TokenHash> {
        let mut tokens = Vec::new();
        for (i, input) in inputs.iter().enumerate() {
            let found = existing.iter().find(|hash| input.matches(hash)).cloned();
            match (input, found) {
                (_, Some(hash)) => tokens.push(hash),
                (TokenInput::Plain(token), None) => {
                    if let Some(other) = base.workspace_of_token(token) {
                        let path = format!("workspaces[{}].tokens[{i}]", self.workspace.name);
                        let reason = format!("belongs to the workspace {} already", other.name);
                        errors.push(InvalidValue::new(path, "(hidden)", reason));
                    }
                    tokens.push(TokenHash::new(token));
                }
                (TokenInput::Hash(hash), None) => tokens.push(hash.clone()),
                (TokenInput::ExistingId(id), None) => {
                    let path = format!("workspaces[{}].tokens[{i}].id", self.workspace.name);
                    let reason = "is no token of the workspace";
                    errors.push(InvalidValue::new(path, &id.to_string(), reason));
                }
            }
        }
        tokens
    }
}

impl TokenInput {
    fn matches(&self, hash: &TokenHash) -> bool {
        match self {
            TokenInput::Plain(token) => hash.matches(token),
            TokenInput::Hash(other) => hash == other,
            TokenInput::ExistingId(id) => hash.id() == *id,
        }
    }
}

fn read_document(value: Value, errors: &mut Vec<InvalidValue>) -> Option<Document> {
    let mut fields = Fields::from_value(String::new(), value, errors)?;
    let document = Document {
        services: fields.list("services", read_service).unwrap_or_default(),
        workspaces: fields.list("workspaces", read_workspace).unwrap_or_default(),
        rules: fields.list("rules", read_rule).unwrap_or_default(),
    };
    fields.finish();
    check_unique("services", document.services.iter().map(|s| s.name.as_str()), errors);
    let workspaces = document.workspaces.iter().map(|w| w.workspace.name.as_str());
    check_unique("workspaces", workspaces, errors);
    check_unique("rules", document.rules.iter().map(|r| r.name.as_str()), errors);
    Some(document)
}

fn check_unique<'a>(
    kind: &str,
    names: impl Iterator<Item = &'a str>,
    errors: &mut Vec<InvalidValue>,
) {
    let mut seen = HashSet::new();
    for name in names.filter(|name| !seen.insert(name.to_owned())) {
        errors.push(InvalidValue::new(kind, name, "is given twice"));
    }
}

fn read_service(path: String, value: Value, errors: &mut Vec<InvalidValue>) -> Option<Service> {
    let mut fields = Fields::from_value(path, value, errors)?;
    let name = fields.required("name");
    let kind = fields.required("kind");
    let limits = fields.each_or_default("limits");
    let latency = fields.each_or_default("latency");
    let model = fields.nested("model", read_model);
    let checks_fences = fields.or_default("checks_fences");
    let fleet = fields.nested("fleet", read_fleet);
    fields.finish();
    Some(Service {
        name: name?,
        kind: kind?,
        limits: limits?,
        latency: latency?,
        model: model?,
        checks_fences: checks_fences?,
        fleet: fleet?,
    })
}

fn read_model(mut fields: Fields<'_>) -> Option<ModelSpec> {
    let model = fields.required("model");
    let version = fields.required("version");
    let adapter = fields.optional("adapter");
    fields.finish();
    Some(ModelSpec { model: model?, version: version?, adapter: adapter? })
}

fn read_fleet(mut fields: Fields<'_>) -> Option<FleetSpec> {
    let classes = fields.list("classes", |path, value, errors| {
        let mut fields = Fields::from_value(path, value, errors)?;
        let class = fields.required("class");
        let units_per_second = fields.required("units_per_second");
        fields.finish();
        Some(crate::ClassCapacity { class: class?, units_per_second: units_per_second? })
    });
    let min_instances = fields.required("min_instances");
    let max_instances = fields.required("max_instances");
    let max_reclaimable_percent = fields.optional("max_reclaimable_percent");
    let labels = fields.each_or_default::<Labels>("labels");
    fields.finish();
    Some(FleetSpec {
        classes: classes.unwrap_or_default(),
        min_instances: min_instances?,
        max_instances: max_instances?,
        max_reclaimable_percent: max_reclaimable_percent?.unwrap_or(100),
        labels: labels?,
    })
}

fn read_workspace(
    path: String,
    value: Value,
    errors: &mut Vec<InvalidValue>,
) -> Option<WorkspaceInput> {
    let mut fields = Fields::from_value(path, value, errors)?;
    let name: Option<WorkspaceName> = fields.required("name");
    let tokens = fields.list("tokens", read_token);
    let weight = fields.optional("weight");
    let services: Option<Vec<ServiceName>> = fields.or_default("services");
    let limits = fields.each_or_default::<WorkspaceLimits>("limits");
    let labels = fields.each_or_default::<Labels>("labels");
    fields.finish();
    let workspace = Workspace {
        name: name?,
        tokens: Vec::new(),
        weight: weight?.unwrap_or(100),
        services: services?,
        limits: limits?,
        labels: labels?,
    };
    Some(WorkspaceInput { workspace, tokens })
}

/// Reads a token; error messages never include its value, which may be a secret.
fn read_token(path: String, value: Value, errors: &mut Vec<InvalidValue>) -> Option<TokenInput> {
    let token = parse_token(&value);
    if let Err(reason) = &token {
        errors.push(InvalidValue::new(path, "(hidden)", *reason));
    }
    token.ok()
}

fn parse_token(value: &Value) -> Result<TokenInput, &'static str> {
    let form_error = "must be an object with one of token, hash and id";
    let map = value.as_object().filter(|map| map.len() == 1).ok_or(form_error)?;
    let (field, value) = map.iter().next().ok_or(form_error)?;
    let text = value.as_str().ok_or("must hold a text")?;
    match field.as_str() {
        "token" if !(MIN_TOKEN_BYTES..=MAX_TOKEN_BYTES).contains(&text.len()) => {
            Err("must be 16 to 512 bytes long")
        }
        "token" if !text.bytes().all(|b| b.is_ascii_graphic()) => {
            Err("may hold only visible ASCII characters")
        }
        "token" => Ok(TokenInput::Plain(text.to_owned())),
        "hash" => match TokenHash::try_from(text.to_owned()) {
            Ok(hash) => Ok(TokenInput::Hash(hash)),
            Err(_) => Err("must have the form salt.hash in base64"),
        },
        "id" => match TokenId::try_from(text.to_owned()) {
            Ok(id) => Ok(TokenInput::ExistingId(id)),
            Err(_) => Err("must be 8 hexadecimal digits"),
        },
        _ => Err(form_error),
    }
}

fn read_rule(path: String, value: Value, errors: &mut Vec<InvalidValue>) -> Option<PlacementRule> {
    let mut fields = Fields::from_value(path, value, errors)?;
    let name = fields.required("name");
    let service = fields.optional("service");
    let requests = fields.or_default("requests");
    let upstreams = fields.or_default("upstreams");
    let effect = fields.required("effect");
    fields.finish();
    Some(PlacementRule {
        name: name?,
        service: service?,
        requests: requests?,
        upstreams: upstreams?,
        effect: effect?,
    })
}
