//! Warnings about configurations without errors.

use lycheelatch_config::{Document, Selector, Warning};
use proptest::prelude::*;

fn warnings(json: &str) -> Vec<Warning> {
    let document = Document::from_json(json.as_bytes()).expect("the document is valid");
    assert_eq!(document.check(), []);
    document.warnings()
}

fn texts(json: &str) -> Vec<String> {
    warnings(json).iter().map(|warning| format!("{}: {}", warning.field, warning.reason)).collect()
}

#[test]
fn warnings_of_sound_document_are_empty() {
    let json = r#"{
        "services": [{"name": "orders", "kind": "plain"}],
        "workspaces": [{"name": "mats", "tokens": [{"token": "0123456789abcdef"}]}],
        "rules": [
            {"name": "a", "requests": "tier=gold", "upstreams": "class=fast", "effect": "require"},
            {"name": "b", "requests": "tier=tin", "upstreams": "class!=fast", "effect": "require"}
        ]
    }"#;
    assert_eq!(texts(json), [""; 0]);
}

#[test]
fn warnings_contradictory_limits_name_both_fields() {
    let json = r#"{"services": [{"name": "orders", "kind": "plain",
        "limits": {"default_timeout_ms": 400, "silence_ms": 200}}]}"#;
    assert_eq!(
        texts(json),
        [
            "services[orders].limits.max_queue_ms: contradicts default_timeout_ms, which is 400",
            "services[orders].limits.silence_ms: contradicts first_token_ms, which is 320",
        ]
    );
}

#[test]
fn warnings_late_target_and_late_silence_are_contradictory() {
    let json = r#"{"services": [{"name": "orders", "kind": "plain",
        "limits": {"default_timeout_ms": 900, "max_timeout_ms": 1000, "silence_ms": 1500},
        "latency": {"first_token_ms": 1200, "between_tokens_ms": 1600}}]}"#;
    assert_eq!(
        texts(json),
        [
            "services[orders].limits.silence_ms: contradicts max_timeout_ms, which is 1000",
            "services[orders].latency.first_token_ms: contradicts default_timeout_ms, which is 900",
            "services[orders].latency.between_tokens_ms: contradicts silence_ms, which is 1500",
        ]
    );
}

#[test]
fn warnings_rule_that_matches_nothing() {
    let json = r#"{"rules": [
        {"name": "a", "requests": "tier=gold,tier!=gold", "effect": {"weight": {"percent": 100}}},
        {"name": "b", "upstreams": "class,!class", "effect": "prefer"}
    ]}"#;
    assert_eq!(
        texts(json),
        [
            "rules[a].requests: matches nothing: its requirements exclude each other",
            "rules[a].effect.weight.percent: has no effect: 100 percent changes no share",
            "rules[b].upstreams: matches nothing: its requirements exclude each other",
        ]
    );
}

#[test]
fn warnings_required_upstreams_that_exclude_each_other() {
    let json = r#"{"rules": [
        {"name": "a", "upstreams": "class=fast", "effect": "require"},
        {"name": "b", "requests": "tier=gold", "upstreams": "class=slow", "effect": "require"}
    ]}"#;
    assert_eq!(
        texts(json),
        ["rules[b].upstreams: leaves no upstream to requests that rules[a] applies to as well"]
    );
}

#[test]
fn warnings_service_that_no_workspace_may_call() {
    let json = r#"{
        "services": [{"name": "orders", "kind": "plain"}, {"name": "stock", "kind": "plain"}],
        "workspaces": [{"name": "mats", "services": ["stock"]}],
        "rules": [{"name": "a", "service": "orders", "upstreams": "x=y", "effect": "prefer"}]
    }"#;
    assert_eq!(texts(json), ["rules[a].service: no workspace may call the service orders"]);
}

fn requirement() -> impl Strategy<Value = String> {
    let key = prop::sample::select(vec!["a", "b"]);
    let value = prop::sample::select(vec!["x", "y", "z"]);
    (key, value.clone(), value, 0..6_u8).prop_map(|(key, v, w, form)| match form {
        0 => format!("{key}={v}"),
        1 => format!("{key}!={v}"),
        2 => format!("{key} in ({v}, {w})"),
        3 => format!("{key} notin ({v}, {w})"),
        4 => key.to_owned(),
        _ => format!("!{key}"),
    })
}

/// All label sets over the keys and values that `requirement` uses, and one value more.
fn all_labels() -> Vec<String> {
    let values = ["", "x", "y", "z", "other"];
    let label = |key: &str, value: &str| match value {
        "" => None,
        _ => Some(format!("{key}={value}")),
    };
    let pairs = values.iter().flat_map(|a| values.iter().map(move |b| (*a, *b)));
    let labels = pairs.map(|(a, b)| [label("a", a), label("b", b)].into_iter().flatten());
    labels.map(|labels| labels.collect::<Vec<_>>().join(",")).collect()
}

proptest! {
    #[test]
    fn can_match_agrees_with_trying_all_labels(requirements in prop::collection::vec(requirement(), 0..5)) {
        let selector: Selector = requirements.join(",").parse().unwrap();
        let matches = |labels: &String| selector.matches(&labels.parse().unwrap());
        prop_assert_eq!(selector.can_match(), all_labels().iter().any(matches));
    }
}
