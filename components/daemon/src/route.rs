//! Explains the routing of a request: candidates, rules and score terms.

use lycheelatch_config::Snapshot;
use lycheelatch_operator::{ControlError, RouteCandidate, RouteExplanation, RouteQuery};
use lycheelatch_policy::{Affinity, CandidateState, PlacementRequest, ScoredUpstream};
use lycheelatch_prelude::{Labels, WorkspaceName};
use lycheelatch_proxy::LoadControl;

use crate::control::not_found;

/// Workspace name for a query that has none.
const NO_WORKSPACE: &str = "none";

/// Returns which upstream a request would be sent to, and why; sends nothing.
///
/// Fails if the service or the workspace is unknown.
pub(crate) fn explain(
    load: &LoadControl,
    config: &Snapshot,
    query: &RouteQuery,
) -> Result<RouteExplanation, ControlError> {
    let service = config.services.get(&query.service);
    let service = service.ok_or_else(|| not_found("service", query.service.as_str()))?;
    let labels = labels(config, query)?;
    let workspace = match &query.workspace {
        Some(workspace) => workspace.clone(),
        None => WorkspaceName::try_from(NO_WORKSPACE).expect("a valid name"),
    };
    let req = PlacementRequest {
        service: &service.name,
        workspace: &workspace,
        labels: &labels,
        local_zone: load.zone(),
        prefix: &[],
        prompt_tokens: 0,
        expected_tokens: 0,
        exclude: &[],
        avoid_zone: None,
        allow_trial: false,
        may_exceed_limit: false,
    };
    let explanation = load.explain(config, &req);
    Ok(RouteExplanation {
        revision: config.revision,
        rules: explanation.rules.iter().map(ToString::to_string).collect(),
        chosen: explanation.choice,
        candidates: explanation.scored.iter().map(candidate).collect(),
        labels,
    })
}

fn labels(config: &Snapshot, query: &RouteQuery) -> Result<Labels, ControlError> {
    let mut labels = Labels::default();
    if let Some(name) = &query.workspace {
        let workspace = config.workspaces.get(name);
        labels = workspace.ok_or_else(|| not_found("workspace", name.as_str()))?.labels.clone();
    }
    for (key, value) in query.labels.iter() {
        labels.insert(key.clone(), value.clone());
    }
    Ok(labels)
}

fn candidate(scored: &ScoredUpstream) -> RouteCandidate {
    RouteCandidate {
        upstream: scored.upstream.clone(),
        zone: scored.zone.clone(),
        is_allowed: scored.allowed,
        reasons: reasons(scored),
    }
}

fn reasons(scored: &ScoredUpstream) -> Vec<String> {
    let mut reasons = Vec::new();
    let mut add_if = |applies: bool, text: &str| {
        if applies {
            reasons.push(text.to_owned());
        }
    };
    add_if(scored.state != CandidateState::Live, "takes no new work");
    add_if(scored.ejected, "is left out: it failed lately");
    add_if(!scored.allowed && scored.state == CandidateState::Live, "a rule requires others");
    add_if(scored.allowed && !scored.preferred, "a rule prefers others");
    add_if(!scored.has_room, "is at its limit");
    add_if(scored.affinity == Affinity::First, "first choice of the prompt's prefix");
    add_if(scored.affinity == Affinity::Second, "second choice of the prompt's prefix");
    reasons.extend(scored.selected_by.iter().map(|rule| format!("rule {rule} selects it")));
    reasons.push(format!("in flight {} of {}", scored.in_flight, scored.limit));
    let terms = &scored.terms;
    let named = [
        ("wait", terms.wait_ms),
        ("recompute", terms.recompute_ms),
        ("zone", terms.zone_ms),
        ("price", terms.price_ms),
        ("spread", terms.spread_ms),
        ("avoid", terms.avoid_ms),
    ];
    let parts = named.iter().filter(|(_, ms)| *ms > 0.0);
    let parts: Vec<String> = parts.map(|(name, ms)| format!("{name} {ms:.1}")).collect();
    reasons.push(format!("score {:.1} ms ({})", scored.total_ms, parts.join(", ")));
    reasons
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use lycheelatch_provider::ListedInstance;
    use lycheelatch_proxy::{HttpConnect, Registry};
    use serde_json::{Value, json};

    use super::*;

    fn listed(name: &str, tier: &str) -> ListedInstance {
        ListedInstance {
            instance: name.parse().unwrap(),
            upstream: name.parse().unwrap(),
            service: "archeb-app".parse().unwrap(),
            addr: "127.0.0.1:1".parse().unwrap(),
            zone: "cenarth".parse().unwrap(),
            region: "ceredigion".parse().unwrap(),
            class: "small".parse().unwrap(),
            purchase: lycheelatch_provider::Purchase::OnDemand,
            state: lycheelatch_provider::ListedState::Live,
            labels: format!("tier={tier}").parse().unwrap(),
        }
    }

    fn config() -> Snapshot {
        let value: Value = json!({
            "revision": 3,
            "services": {"archeb-app": {"name": "archeb-app", "kind": "plain"}},
            "workspaces": {},
            "rules": {"gold-only": {
                "name": "gold-only", "requests": "craft=rush", "upstreams": "tier=gold",
                "effect": "require",
            }},
        });
        serde_json::from_value(value).unwrap()
    }

    fn explain_for(labels: &str, service: &str) -> Result<RouteExplanation, ControlError> {
        let config = config();
        let registry = Arc::new(Registry::new(Arc::new(HttpConnect)));
        registry.update(&config, vec![listed("app-1", "gold"), listed("app-2", "plain")]);
        let load = LoadControl::new(registry, "cenarth".parse().unwrap(), 1);
        let query = RouteQuery {
            service: service.parse().unwrap(),
            workspace: None,
            labels: labels.parse().unwrap(),
        };
        explain(&load, &config, &query)
    }

    #[test]
    fn explain_names_rules_and_terms() {
        let explanation = explain_for("craft=rush", "archeb-app").unwrap();
        assert_eq!(explanation.chosen.unwrap().as_str(), "app-1");
        assert_eq!(explanation.rules, ["gold-only"]);
        let [gold, plain] = explanation.candidates.as_slice() else {
            panic!("expected two candidates");
        };
        assert!(gold.is_allowed && !plain.is_allowed);
        assert!(gold.reasons.contains(&"rule gold-only selects it".to_owned()));
        assert!(gold.reasons.iter().any(|reason| reason.starts_with("score ")));
        assert!(plain.reasons.contains(&"a rule requires others".to_owned()));
    }

    #[test]
    fn explain_unknown_service_is_named() {
        let err = explain_for("", "sack-desk").unwrap_err();
        assert_eq!(err, not_found("service", "sack-desk"));
    }
}
