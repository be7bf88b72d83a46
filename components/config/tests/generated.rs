//! Parsing of generated documents, selectors and deltas, and hiding of secrets in errors.

use lycheelatch_config::{Delta, Document, Edit, Selector, Snapshot, plan};
use lycheelatch_fakes::Inputs;

const INPUTS: usize = 3_000;

const DOCUMENT: &str = r#"{"services":[{"name":"model-a","kind":"model","model":{"model":"a",
"version":"1"},"limits":{"silence_ms":1000}},{"name":"orders","kind":"plain"}],
"workspaces":[{"name":"w","tokens":[{"token":"token-of-the-tests"}],"services":["orders"],
"weight":7,"labels":{"tier":"gold"}}],"rules":[]}"#;

#[test]
fn from_json_generated_succeeds_or_reports_errors() {
    for input in Inputs::new(vec![DOCUMENT.into()]).take(INPUTS) {
        match Document::from_json(&input) {
            Ok(document) => drop(document.check()),
            Err(errors) => assert!(!errors.is_empty()),
        }
    }
}

#[test]
fn parse_selector_generated() {
    let samples = vec![b"zone=a,tier!=gold".to_vec(), b"zone in (a,b),!spot".to_vec()];
    for input in Inputs::new(samples).take(INPUTS) {
        let _ = String::from_utf8_lossy(&input).parse::<Selector>();
    }
}

#[test]
fn decode_generated_delta_increases_revision() {
    let before = Snapshot::default();
    let document = Document::from_json(DOCUMENT.as_bytes()).unwrap();
    let after = plan(&before, &[Edit::Apply(document)]).unwrap().snapshot;
    let samples = vec![Delta::between(&before, &after).encode(), after.encode()];
    for input in Inputs::new(samples).take(INPUTS) {
        if let Ok(next) = Delta::decode(&input).and_then(|delta| before.apply_delta(&delta)) {
            assert!(next.revision > before.revision);
        }
        let _ = Snapshot::decode(&input);
    }
}

#[test]
fn from_json_invalid_token_is_hidden() {
    for invalid in [
        r#"{"workspaces":[{"name":"w","tokens":"a-secret-of-a-workspace"}]}"#,
        r#"{"workspaces":[{"name":"w","tokens":{"token":"a-secret-of-a-workspace"}}]}"#,
        r#"{"workspaces":[{"name":"w","token":"a-secret-of-a-workspace"}]}"#,
        r#"{"workspaces":[["token","a-secret-of-a-workspace"]]}"#,
        r#"{"workspaces":{"name":"w","tokens":[{"token":"a-secret-of-a-workspace"}]}}"#,
        r#"{"workspace":{"name":"w","tokens":[{"token":"a-secret-of-a-workspace"}]}}"#,
        r#"[{"name":"w","tokens":[{"token":"a-secret-of-a-workspace"}]}]"#,
    ] {
        let errors = Document::from_json(invalid.as_bytes()).unwrap_err();
        assert!(!format!("{errors:?}").contains("a-secret"), "{errors:?}");
    }
}
