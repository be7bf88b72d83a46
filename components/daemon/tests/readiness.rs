//! Readiness of a node with a long poll interval.

use std::{sync::Arc, time::Duration};

use lycheelatch_daemon::Node;
use lycheelatch_fakes::{MemoryInstances, MemoryKv, ServedPlatform, serve_platform};
use lycheelatch_settings::Settings;
use serde_json::json;
use tokio::time::{sleep, timeout};

/// Time within which the node must be ready, far below the poll interval.
const READY_LIMIT: Duration = Duration::from_secs(20);

#[actix::test]
async fn ready_without_waiting_for_the_second_poll() {
    let platform = serve_platform(ServedPlatform {
        kv: Arc::new(MemoryKv::new()),
        instances: Arc::new(MemoryInstances::new(Duration::ZERO)),
        cloud: None,
        weights: None,
    })
    .unwrap();
    let base = format!("http://{}", platform.addr());
    let settings = json!({
        "zone": "aberteifi",
        "region": "ceredigion",
        "callers": {"listen": "127.0.0.1:0"},
        "operators": {"listen": "127.0.0.1:0"},
        "platform": {
            "key_value": {"url": base},
            "instances": {"url": format!("{base}/list"), "poll": "1h"},
        },
    });
    let settings = Settings::from_json(&settings.to_string()).unwrap();
    let node = Node::start(settings, None).await.unwrap();
    let ready = async {
        while !node.health().is_ready() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(READY_LIMIT, ready).await.expect("the node did not become ready in time");
}
