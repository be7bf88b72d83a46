//! Reading settings from JSON.

use lycheelatch_settings::{Settings, SettingsError};
use proptest::prelude::*;
use serde_json::{Value, json};

fn minimal() -> Value {
    json!({
        "zone": "aberteifi",
        "region": "ceredigion",
        "callers": {"listen": "127.0.0.1:8080"},
        "operators": {"listen": "127.0.0.1:8081"},
        "platform": {
            "key_value": {"url": "http://127.0.0.1:8500"},
            "instances": {"url": "http://127.0.0.1:8600"}
        }
    })
}

fn fields(result: Result<Settings, SettingsError>) -> Vec<String> {
    match result.unwrap_err() {
        SettingsError::Invalid(errors) => errors.into_iter().map(|err| err.field).collect(),
        other => panic!("expected invalid values: {other}"),
    }
}

#[test]
fn from_json_minimal_settings() {
    let settings = Settings::from_json(&minimal().to_string()).unwrap();
    assert_eq!(settings.callers.workers, 1);
    assert!(settings.peers.is_none());
}

#[test]
fn from_json_names_every_error() {
    let mut value = minimal();
    value["zone"] = json!("a b");
    value["colour"] = json!("green");
    value["callers"]["listen"] = json!("localhost");
    value["callers"]["head_timeout"] = json!("soon");
    value["platform"]["key_value"]["url"] = json!("ftp://x");
    value["operators"]["tokens"] = json!([{"name": "ann", "role": "root"}]);
    let mut found = fields(Settings::from_json(&value.to_string()));
    found.sort();
    assert_eq!(
        found,
        [
            "callers.head_timeout",
            "callers.listen",
            "colour",
            "operators.tokens[0].hash",
            "operators.tokens[0].role",
            "platform.key_value.url",
            "zone",
        ]
    );
}

#[test]
fn from_json_syntax_error() {
    assert!(matches!(Settings::from_json("{"), Err(SettingsError::Syntax(_))));
    assert_eq!(fields(Settings::from_json("[]"))[0], "(root)");
}

#[test]
fn from_json_example_is_valid() {
    Settings::from_json(include_str!("../../../examples/node.json")).unwrap();
}

proptest! {
    #[test]
    fn from_json_any_text_never_panics(text in ".{0,200}") {
        let _any_result = Settings::from_json(&text);
    }
}
