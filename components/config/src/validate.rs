//! Validation of a complete configuration.

use std::collections::{BTreeSet, HashSet};

use lycheelatch_prelude::{InvalidValue, Labels};

use crate::{
    Effect, FleetSpec, ObjectKey, PlacementRule, Service, ServiceKind, ServiceLimits, Snapshot,
    Workspace,
};

/// Maximum size of an object, in bytes of JSON.
pub(crate) const MAX_OBJECT_BYTES: usize = 64 * 1024;

/// Maximum number of labels per object.
const MAX_LABELS: usize = 32;

/// Maximum number of tokens per workspace.
const MAX_TOKENS: usize = 64;

/// Maximum value of `max_body_bytes`.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Maximum value of timeout and latency settings, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 24 * 60 * 60 * 1000;

/// Maximum weight of a workspace.
const MAX_WEIGHT: u32 = 1_000_000;

/// Maximum factor of a weight rule, in percent.
const MAX_WEIGHT_PERCENT: u32 = 10_000;

/// Maximum value of `max_instances`.
const MAX_INSTANCES: u32 = 100_000;

impl Snapshot {
    /// Validates the configuration and returns all errors, each with the path of its field.
    pub fn validate(&self) -> Vec<InvalidValue> {
        let mut errors = Vec::new();
        let keys = self.objects().map(|object| object.key()).collect();
        check(self, &keys, &mut errors);
        errors
    }
}

/// Validates the complete configuration, and the sizes of the objects `changed` only.
pub(crate) fn check(
    snapshot: &Snapshot,
    changed: &BTreeSet<ObjectKey>,
    errors: &mut Vec<InvalidValue>,
) {
    let mut validator = Validator { snapshot, errors };
    snapshot.services.values().for_each(|service| validator.service(service));
    snapshot.workspaces.values().for_each(|workspace| validator.workspace(workspace));
    snapshot.rules.values().for_each(|rule| validator.rule(rule));
    changed.iter().for_each(|key| validator.size(key));
}

struct Validator<'a> {
    snapshot: &'a Snapshot,
    errors: &'a mut Vec<InvalidValue>,
}

impl Validator<'_> {
    fn fail(&mut self, path: String, value: impl ToString, reason: &str) {
        self.errors.push(InvalidValue::new(path, &value.to_string(), reason));
    }

    fn size(&mut self, key: &ObjectKey) {
        let Some(object) = self.snapshot.object(key) else { return };
        let bytes = serde_json::to_vec(&object).map_or(0, |json| json.len());
        if bytes > MAX_OBJECT_BYTES {
            self.fail(key.to_string(), format!("{bytes} bytes"), "is larger than 65536 bytes");
        }
    }

    fn service(&mut self, service: &Service) {
        let path = format!("services[{}]", service.name);
        self.limits(&format!("{path}.limits"), &service.limits);
        for (field, ms) in [
            ("first_token_ms", service.latency.first_token_ms),
            ("between_tokens_ms", service.latency.between_tokens_ms),
        ] {
            self.within(format!("{path}.latency.{field}"), ms, 1, MAX_TIMEOUT_MS);
        }
        match (service.kind, &service.model) {
            (ServiceKind::Model, None) => {
                self.fail(format!("{path}.model"), "", "must be given for a model service");
            }
            (ServiceKind::Plain, Some(spec)) => {
                let reason = "must not be given for a plain service";
                self.fail(format!("{path}.model"), &spec.model, reason);
            }
            _ => {}
        }
        if let Some(fleet) = &service.fleet {
            self.fleet(&format!("{path}.fleet"), fleet);
        }
    }

    fn limits(&mut self, path: &str, limits: &ServiceLimits) {
        let max_timeout = limits.max_timeout_ms;
        let body = limits.max_body_bytes as u64;
        self.within(format!("{path}.max_body_bytes"), body, 1, MAX_BODY_BYTES as u64);
        self.within(format!("{path}.max_timeout_ms"), max_timeout, 1, MAX_TIMEOUT_MS);
        let default_timeout = limits.default_timeout_ms;
        self.within(format!("{path}.default_timeout_ms"), default_timeout, 1, MAX_TIMEOUT_MS);
        if default_timeout > max_timeout {
            let reason = "must be at most max_timeout_ms";
            self.fail(format!("{path}.default_timeout_ms"), default_timeout, reason);
        }
        self.within(format!("{path}.max_queue_ms"), limits.max_queue_ms, 0, MAX_TIMEOUT_MS);
        let retry_percent = u64::from(limits.retry_percent);
        self.within(format!("{path}.retry_percent"), retry_percent, 0, 100);
        self.within(format!("{path}.silence_ms"), limits.silence_ms, 1, MAX_TIMEOUT_MS);
        let in_flight = u64::from(limits.max_in_flight_per_upstream);
        let path = format!("{path}.max_in_flight_per_upstream");
        self.within(path, in_flight, 1, u64::from(u32::MAX));
    }

    fn within(&mut self, path: String, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            self.fail(path, value, &format!("must be {min} to {max}"));
        }
    }

    fn fleet(&mut self, path: &str, fleet: &FleetSpec) {
        if fleet.classes.is_empty() {
            self.fail(format!("{path}.classes"), "", "must name a machine class");
        }
        let mut seen = HashSet::new();
        for (i, class) in fleet.classes.iter().enumerate() {
            if !seen.insert(&class.class) {
                self.fail(format!("{path}.classes[{i}].class"), &class.class, "is given twice");
            }
            let units = class.units_per_second;
            if !units.is_finite() || units <= 0.0 {
                let path = format!("{path}.classes[{i}].units_per_second");
                self.fail(path, units, "must be a number above 0");
            }
        }
        let max_instances = u64::from(fleet.max_instances);
        self.within(format!("{path}.max_instances"), max_instances, 1, u64::from(MAX_INSTANCES));
        if fleet.min_instances > fleet.max_instances {
            let reason = "must be at most max_instances";
            self.fail(format!("{path}.min_instances"), fleet.min_instances, reason);
        }
        let reclaimable = u64::from(fleet.max_reclaimable_percent);
        self.within(format!("{path}.max_reclaimable_percent"), reclaimable, 0, 100);
        self.labels(format!("{path}.labels"), &fleet.labels);
    }

    fn labels(&mut self, path: String, labels: &Labels) {
        if labels.len() > MAX_LABELS {
            self.fail(path, labels.len(), "holds more than 32 labels");
        }
    }

    fn workspace(&mut self, workspace: &Workspace) {
        let path = format!("workspaces[{}]", workspace.name);
        let weight = u64::from(workspace.weight);
        self.within(format!("{path}.weight"), weight, 1, u64::from(MAX_WEIGHT));
        for (i, service) in workspace.services.iter().enumerate() {
            self.known_service(format!("{path}.services[{i}]"), service.as_str());
        }
        if workspace.tokens.len() > MAX_TOKENS {
            let count = workspace.tokens.len();
            self.fail(format!("{path}.tokens"), count, "holds more than 64 tokens");
        }
        let limits = &workspace.limits;
        if limits.requests_per_second == Some(0) {
            self.fail(format!("{path}.limits.requests_per_second"), 0, "must be at least 1");
        }
        if limits.max_in_flight == Some(0) {
            self.fail(format!("{path}.limits.max_in_flight"), 0, "must be at least 1");
        }
        self.labels(format!("{path}.labels"), &workspace.labels);
    }

    fn known_service(&mut self, path: String, name: &str) {
        if !self.snapshot.services.contains_key(name) {
            self.fail(path, name, "is not a known service");
        }
    }

    fn rule(&mut self, rule: &PlacementRule) {
        let path = format!("rules[{}]", rule.name);
        if let Some(service) = &rule.service {
            self.known_service(format!("{path}.service"), service.as_str());
        }
        if let Effect::Weight { percent } = rule.effect {
            let max = u64::from(MAX_WEIGHT_PERCENT);
            self.within(format!("{path}.effect.weight.percent"), u64::from(percent), 0, max);
        }
    }
}
