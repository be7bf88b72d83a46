//! Parsing of valid and invalid configuration documents and selectors.

use lycheelatch_config::{Document, Selector};
use lycheelatch_prelude::Labels;
use proptest::prelude::*;
use serde_json::{Map, Value, json};

fn fields(document: Value) -> Vec<String> {
    Document::from_value(document).unwrap_err().into_iter().map(|err| err.field).collect()
}

#[test]
fn from_value_reports_all_errors() {
    let document = json!({
        "services": [
            { "name": "a b", "kind": "other", "limits": { "max_queue_ms": "x", "no_such": 1 } },
            { "kind": "plain", "model": { "model": 3, "extra": 1 }, "colour": "red" },
            7,
            { "name": "ok", "kind": "plain",
              "fleet": { "classes": [{ "class": "c" }], "min_instances": -1, "max_instances": 2 } },
        ],
        "workspaces": { "name": "not a list" },
        "rules": [{ "name": "r", "requests": "tier in gold", "effect": "forbid" }],
        "widgets": [],
    });
    assert_eq!(
        fields(document),
        [
            "services[0].name",
            "services[0].kind",
            "services[0].limits.max_queue_ms",
            "services[0].limits.no_such",
            "services[1].name",
            "services[1].model.model",
            "services[1].model.version",
            "services[1].model.extra",
            "services[1].colour",
            "services[2]",
            "services[3].fleet.classes[0].units_per_second",
            "services[3].fleet.min_instances",
            "workspaces",
            "rules[0].requests",
            "rules[0].effect",
            "widgets",
        ]
    );
}

#[test]
fn from_value_duplicate_name() {
    let service = json!({ "name": "a", "kind": "plain" });
    assert_eq!(fields(json!({ "services": [service, service] })), ["services"]);
}

#[test]
fn from_value_invalid_token_is_hidden() {
    for token in ["short", "a secret with spaces in it"] {
        for field in ["token", "hash", "id", "tokken"] {
            let tokens = json!([{ field: token }, token]);
            let document = json!({ "workspaces": [{ "name": "lima", "tokens": tokens }] });
            let errors = Document::from_value(document).unwrap_err();
            assert_eq!(errors.len(), 2);
            assert!(!format!("{errors:?}").contains(token));
        }
    }
}

#[test]
fn from_json_not_json() {
    let errors = Document::from_json(b"{").unwrap_err();
    assert_eq!(errors[0].field, "document");
}

fn any_json() -> impl Strategy<Value = Value> {
    let known = prop::sample::select(vec![
        "name",
        "kind",
        "limits",
        "latency",
        "model",
        "version",
        "fleet",
        "classes",
        "class",
        "tokens",
        "token",
        "hash",
        "id",
        "weight",
        "labels",
        "services",
        "effect",
        "requests",
        "upstreams",
        "spread",
        "percent",
        "min_instances",
        "units_per_second",
    ]);
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        prop::sample::select(vec!["plain", "model", "prefer", "a=b", "x in (y)"])
            .prop_map(Value::from),
    ];
    leaf.prop_recursive(5, 60, 6, move |inner| {
        let object = prop::collection::vec((known.clone(), inner.clone()), 0..6);
        prop_oneof![
            prop::collection::vec(inner, 0..4).prop_map(Value::from),
            object.prop_map(|fields| {
                let fields = fields.into_iter().map(|(key, value)| (key.to_owned(), value));
                Value::Object(fields.collect::<Map<_, _>>())
            }),
        ]
    })
}

proptest! {
    #[test]
    fn from_value_any_objects(
        services in any_json(),
        workspaces in prop::collection::vec(any_json(), 0..3),
        rules in prop::collection::vec(any_json(), 0..3),
    ) {
        let document =
            json!({ "services": services, "workspaces": workspaces, "rules": rules });
        if let Err(errors) = Document::from_value(document) {
            prop_assert!(!errors.is_empty());
            prop_assert!(errors.iter().all(|err| !err.field.is_empty() && !err.reason.is_empty()));
        }
    }

    #[test]
    fn from_json_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Document::from_json(&bytes);
    }

    #[test]
    fn parse_selector_any_text(text in ".{0,60}") {
        let _ = text.parse::<Selector>();
    }

    #[test]
    fn parse_selector_display_round_trips(
        text in "(!?[a-c]|[a-c](=|!=)[x-z]{0,2}|[a-c] (in|notin) \\([x-z](, ?[x-z]){0,2}\\))(,[a-c]=[x-z]){0,2}",
        labels in "([a-c]=[x-z])?",
    ) {
        let selector: Selector = text.parse().unwrap();
        let displayed: Selector = selector.to_string().parse().unwrap();
        let labels: Labels = labels.parse().unwrap();
        prop_assert_eq!(selector.matches(&labels), displayed.matches(&labels));
        prop_assert_eq!(selector, displayed);
    }
}
