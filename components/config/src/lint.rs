//! Warnings about a valid configuration: entries without effect and limits that contradict each
//! other.

use displaydoc::Display;
use serde::{Serialize, Serializer};

use crate::{Effect, PlacementRule, Service, Snapshot, Workspace};

/// A part of a valid configuration that can't work as written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Warning {
    /// Path of the field.
    pub field: String,
    /// What is wrong with it.
    pub reason: WarningReason,
}

/// Why a part of a configuration can't work as written.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WarningReason {
    /// matches nothing: its requirements exclude each other
    MatchesNothing,
    /// leaves no upstream to requests that {0} applies to as well
    ExcludesUpstreamsOf(String),
    /// no workspace may call the service {0}
    ServiceOfNobody(String),
    /// has no effect: {0}
    NoEffect(&'static str),
    /// contradicts {field}, which is {value}
    Contradicts {
        /// The other field.
        field: &'static str,
        /// Its value.
        value: u64,
    },
}

impl Serialize for WarningReason {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl Snapshot {
    /// Returns warnings about a configuration without errors, ordered by kind and name of object.
    pub fn warnings(&self) -> Vec<Warning> {
        let mut warnings = Vec::new();
        self.services.values().for_each(|service| check_limits(service, &mut warnings));
        for rule in self.rules.values() {
            check_rule(self, rule, &mut warnings);
        }
        warnings
    }
}

fn check_limits(service: &Service, warnings: &mut Vec<Warning>) {
    let limits = &service.limits;
    let mut contradicts = |at: &str, field: &'static str, value: u64| {
        let reason = WarningReason::Contradicts { field, value };
        warnings.push(Warning { field: format!("services[{}].{at}", service.name), reason });
    };
    if limits.max_queue_ms >= limits.default_timeout_ms {
        // A request could wait in the queue until its time is up.
        contradicts("limits.max_queue_ms", "default_timeout_ms", limits.default_timeout_ms);
    }
    if limits.silence_ms > limits.max_timeout_ms {
        contradicts("limits.silence_ms", "max_timeout_ms", limits.max_timeout_ms);
    }
    if limits.silence_ms < service.latency.first_token_ms {
        // An upstream within its target would count as failed.
        contradicts("limits.silence_ms", "first_token_ms", service.latency.first_token_ms);
    }
    if service.latency.first_token_ms > limits.default_timeout_ms {
        contradicts("latency.first_token_ms", "default_timeout_ms", limits.default_timeout_ms);
    }
    if service.latency.between_tokens_ms >= limits.silence_ms {
        contradicts("latency.between_tokens_ms", "silence_ms", limits.silence_ms);
    }
}

fn check_rule(snapshot: &Snapshot, rule: &PlacementRule, warnings: &mut Vec<Warning>) {
    let path = format!("rules[{}]", rule.name);
    let mut warn = |field: &str, reason: WarningReason| {
        warnings.push(Warning { field: format!("{path}.{field}"), reason });
    };
    if !rule.requests.can_match() {
        warn("requests", WarningReason::MatchesNothing);
    }
    if !rule.upstreams.can_match() {
        warn("upstreams", WarningReason::MatchesNothing);
    }
    if let Some(service) = &rule.service
        && !is_called(snapshot, service.as_str())
    {
        warn("service", WarningReason::ServiceOfNobody(service.to_string()));
    }
    if rule.effect == (Effect::Weight { percent: 100 }) {
        warn("effect.weight.percent", WarningReason::NoEffect("100 percent changes no share"));
    }
    if let Some(other) = excluded_with(snapshot, rule) {
        warn("upstreams", WarningReason::ExcludesUpstreamsOf(format!("rules[{}]", other.name)));
    }
}

/// Returns whether a workspace may call a service; without workspaces, every caller may.
fn is_called(snapshot: &Snapshot, service: &str) -> bool {
    let may_call = |workspace: &Workspace| {
        workspace.services.is_empty() || workspace.services.iter().any(|s| s.as_str() == service)
    };
    snapshot.workspaces.is_empty() || snapshot.workspaces.values().any(may_call)
}

/// Returns an earlier rule that requires other upstreams for requests that both rules apply to.
fn excluded_with<'a>(snapshot: &'a Snapshot, rule: &PlacementRule) -> Option<&'a PlacementRule> {
    if rule.effect != Effect::Require || !rule.upstreams.can_match() {
        return None;
    }
    let is_excluded = |other: &&PlacementRule| {
        other.effect == Effect::Require
            && other.upstreams.can_match()
            && apply_together(rule, other)
            && !rule.upstreams.can_match_with(&other.upstreams)
    };
    snapshot.rules.values().take_while(|other| other.name != rule.name).find(is_excluded)
}

fn apply_together(a: &PlacementRule, b: &PlacementRule) -> bool {
    let share_service = match (&a.service, &b.service) {
        (Some(a), Some(b)) => a == b,
        _ => true,
    };
    share_service && a.requests.can_match_with(&b.requests)
}
