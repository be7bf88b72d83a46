//! A node keeps serving while its standard output is not read.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    time::Duration,
};

use serde_json::json;
use tokio::time::Instant;

/// Duration of the load, long enough to log more lines than a pipe buffers.
const LOAD_TIME: Duration = Duration::from_secs(5);

/// Time within which each response must arrive.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Pause between two requests: the node's limit on log lines per second is reached but not far
/// exceeded.
const PAUSE: Duration = Duration::from_millis(3);

struct Node(Child);

impl Drop for Node {
    fn drop(&mut self) {
        let _ended = self.0.kill();
        let _reaped = self.0.wait();
    }
}

fn start(name: &str) -> Node {
    let dir = std::env::temp_dir().join(format!("lycheelatch-log-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let settings = dir.join("settings.json");
    let text = json!({"gateway": {
        "node": "node-1", "zone": "zone-a", "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0",
        "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0", "seeds": [],
        "store": "127.0.0.1:1", "duties": "127.0.0.1:1", "log": {"level": "info"},
    }});
    std::fs::write(&settings, text.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_lycheelatchd"));
    let child = command.arg("--config").arg(&settings).stdout(Stdio::piped()).spawn().unwrap();
    Node(child)
}

/// Reads lines until the node logs the address of its callers' port.
fn callers_of(lines: &mut impl BufRead) -> SocketAddr {
    loop {
        let mut line = String::new();
        assert_ne!(lines.read_line(&mut line).unwrap(), 0, "the node exited");
        let Ok(event) = serde_json::from_str::<serde_json::Value>(&line) else { continue };
        if event["event"] == "started" {
            return event["callers"].as_str().unwrap().parse().unwrap();
        }
    }
}

fn request(connection: &mut TcpStream) -> String {
    connection.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    let mut buf = vec![0; 4096];
    let len = connection.read(&mut buf).expect("no response in time");
    String::from_utf8_lossy(&buf[..len]).into_owned()
}

#[test]
fn log_unread_output_does_not_block_requests() {
    let mut node = start("unread");
    let mut lines = BufReader::new(node.0.stdout.take().unwrap());
    let callers = callers_of(&mut lines);
    let mut connection = TcpStream::connect(callers).unwrap();
    connection.set_read_timeout(Some(ANSWER_LIMIT)).unwrap();
    let started = Instant::now();
    let mut answers = 0;
    while started.elapsed() < LOAD_TIME {
        let answer = request(&mut connection);
        assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
        if answer.to_ascii_lowercase().contains("connection: close") {
            connection = TcpStream::connect(callers).unwrap();
            connection.set_read_timeout(Some(ANSWER_LIMIT)).unwrap();
        }
        answers += 1;
        std::thread::sleep(PAUSE);
    }
    assert!(answers > 500, "only {answers} answers");
}
