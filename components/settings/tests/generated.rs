//! Generated settings, and secrets in the errors of invalid settings.

use lycheelatch_fakes::FuzzInputs;
use lycheelatch_settings::Settings;

const INPUTS: usize = 5_000;

const SETTINGS: &str = r#"{"zone":"z1","region":"r1","callers":{"listen":"127.0.0.1:8080",
"head_timeout":"5s","max_body":"16MiB","workers":2},"operators":{"listen":"127.0.0.1:8081",
"tokens":[{"name":"ann","role":"read","hash":"hash-of-ann"}]},"platform":{
"key_value":{"url":"http://127.0.0.1:8500"},"instances":{"url":"http://127.0.0.1:8600"}}}"#;

#[test]
fn from_json_generated_is_valid_or_has_errors() {
    for input in FuzzInputs::new(vec![SETTINGS.into()]).take(INPUTS) {
        if let Err(err) = Settings::from_json(&String::from_utf8_lossy(&input)) {
            assert!(!err.lines().is_empty());
        }
    }
}

#[test]
fn from_json_error_hides_token() {
    let hash = r#""hash":"hash-of-ann""#;
    for invalid in [
        r#""hash":["a-secret"]"#,
        r#""hash":"hash-of-ann","token":"a-secret""#,
        r#""hash":"hash-of-ann","password":"a-secret""#,
    ] {
        let err = Settings::from_json(&SETTINGS.replace(hash, invalid)).unwrap_err();
        assert!(!format!("{err} {err:?} {:?}", err.lines()).contains("a-secret"), "{err}");
    }
    let object = r#"{"token":"a-secret"}"#;
    for tokens in [object.to_owned(), r#"["a-secret"]"#.to_owned(), r#""a-secret""#.to_owned()] {
        let list = SETTINGS.find("[{\"name\"").unwrap()..SETTINGS.find("},\"platform").unwrap();
        let mut text = SETTINGS.to_owned();
        text.replace_range(list, &tokens);
        let err = Settings::from_json(&text).unwrap_err();
        assert!(!format!("{err} {err:?}").contains("a-secret"), "{err}");
    }
}

#[test]
fn debug_hides_hashes_of_tokens() {
    let settings = Settings::from_json(SETTINGS).unwrap();
    assert!(!format!("{settings:?}").contains("hash-of-ann"));
}
