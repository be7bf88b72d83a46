//! The operator's configuration.

use lycheelatch_fakes::entry::{WorkspaceLimit, config_document};
use serde_json::{Value, json};

/// Returns a configuration whose streams go to one service, or evenly to several.
pub fn configuration(services: &[&str], timeout_ms: u64) -> Value {
    let weight = 100 / services.len();
    let weighted: Vec<_> = services.iter().map(|name| (*name, weight)).collect();
    split_configuration(1, &weighted, timeout_ms)
}

/// Returns a configuration whose streams go to services by their weights.
pub fn split_configuration(version: u64, services: &[(&str, usize)], timeout_ms: u64) -> Value {
    let mut config = config_document(version, WorkspaceLimit::default());
    let first = config["services"][0].clone();
    let named = services.iter().map(|(name, _)| {
        let mut service = first.clone();
        service["name"] = json!(name);
        service["engine"]["slots"] = json!(64);
        service["connection_limit"] = json!(360);
        service
    });
    config["services"] = named.collect();
    for route in config["routes"].as_array_mut().expect("routes") {
        route["service"] = json!(services[0].0);
        route["timeout_ms"] = json!(timeout_ms);
        if route["kind"] == "streaming" && services.len() > 1 {
            let split = services.iter();
            let split = split.map(|(name, weight)| json!({"service": name, "weight": weight}));
            route["traffic_split"] = split.collect();
            route.as_object_mut().expect("a route").remove("service");
        }
    }
    config
}
