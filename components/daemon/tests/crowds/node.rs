//! A node's process with a store and an upstream on loopback.

use std::{
    cell::RefCell,
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use lycheelatch_fakes::entry::{
    Behavior, FakeStore, ScriptedUpstream, WorkspaceLimit, config_document, request, send_raw,
    upstream_entry,
};
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Memory of the machine in the settings: the process must stay below it at all times.
pub(crate) const MEMORY_BYTES: usize = 48 << 20;

/// Descriptors of the machine in the settings: the process must stay below them at all times.
pub(crate) const FILE_DESCRIPTORS: usize = 320;

/// Largest body that the configuration allows.
pub(crate) const BODY_BYTES: usize = 1 << 20;

/// Time within which the node starts.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Body of an upstream's response, in bytes.
const ANSWER_BYTES: usize = 200 << 10;

/// A process; dropping it kills the process.
pub(crate) struct Process {
    child: RefCell<Child>,
    settings: PathBuf,
}

impl Process {
    /// Starts `lycheelatchd` with settings.
    pub(crate) fn start(name: &str, settings: &serde_json::Value) -> Process {
        let file = format!("lycheelatch-crowds-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lycheelatchd"))
            .arg("--config")
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Process { child: RefCell::new(child), settings: path }
    }

    fn path(&self, file: &str) -> String {
        format!("/proc/{}/{file}", self.child.borrow().id())
    }

    pub(crate) fn is_alive(&self) -> bool {
        matches!(self.child.borrow_mut().try_wait(), Ok(None))
    }

    /// Returns the largest memory that the process has used, in bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        let status = fs::read_to_string(self.path("status")).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 1024
    }

    pub(crate) fn descriptors(&self) -> usize {
        fs::read_dir(self.path("fd")).unwrap().count()
    }

    /// Checks what must hold at all times, and shows it to who runs the test with its output.
    #[expect(clippy::print_stdout, reason = "the figures are read from the output of the test")]
    pub(crate) fn check(&self, crowd: &str) {
        assert!(self.is_alive(), "{crowd}: the process ended");
        let (memory, descriptors) = (self.peak_memory(), self.descriptors());
        println!("{crowd}: {} MB at most, {descriptors} descriptors", memory >> 20);
        assert!(memory < MEMORY_BYTES, "{crowd}: {memory} bytes");
        assert!(descriptors < FILE_DESCRIPTORS, "{crowd}: {descriptors} descriptors");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let mut child = self.child.borrow_mut();
        let _killed = child.kill();
        let _reaped = child.wait();
        let _removed = fs::remove_file(&self.settings);
    }
}

/// Returns loopback addresses with free ports.
pub(crate) fn unused_addresses<const N: usize>() -> [SocketAddr; N] {
    let sockets: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    sockets.each_ref().map(|socket| socket.local_addr().unwrap())
}

/// A gateway's process, its store and its upstream.
pub(crate) struct Bed {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) metrics: SocketAddr,
    process: Process,
    _store: FakeStore,
    _upstream: ScriptedUpstream,
}

impl Bed {
    pub(crate) async fn start() -> Bed {
        let upstream = ScriptedUpstream::start([]).await;
        upstream.set_default(Behavior::Respond(200, "a".repeat(ANSWER_BYTES)));
        let store = FakeStore::start().await;
        store.put("op/config", &configuration());
        store.put("servers/r-1", &upstream_entry(upstream.address(), "ready"));
        let [callers, readiness, peers, metrics] = unused_addresses();
        let settings = json!({"gateway": {
            "node": "node-1", "zone": "zone-a", "callers": callers, "readiness": readiness,
            "peers": peers, "metrics": metrics, "seeds": [], "first_start": "true",
            "store": store.address(), "duties": store.address(),
            "memory": format!("{MEMORY_BYTES}B"),
            "file_descriptors": FILE_DESCRIPTORS.to_string(), "log": {"level": "warn"},
        }});
        let process = Process::start(&callers.port().to_string(), &settings);
        let bed =
            Bed { callers, readiness, peers, metrics, process, _store: store, _upstream: upstream };
        bed.wait_until_ready().await;
        bed
    }

    async fn wait_until_ready(&self) {
        let deadline = Instant::now() + START_LIMIT;
        while !self.is_ready().await {
            assert!(Instant::now() < deadline, "the node did not start in time");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn is_ready(&self) -> bool {
        let is_listening = tokio::net::TcpStream::connect(self.readiness).await.is_ok();
        is_listening && send_raw(self.readiness, READINESS_REQUEST).await.status == 200
    }

    /// Checks what must hold at all times, and that ordinary requests are answered.
    pub(crate) async fn check(&self, crowd: &str) {
        self.process.check(crowd);
        let body = "b".repeat(1000);
        let text = request("POST", "/once/", "ordinary", "", &body);
        let answer = send_raw(self.callers, &text).await;
        assert_eq!((answer.status, answer.is_complete), (200, true), "{crowd}");
        assert!(self.is_ready().await, "{crowd}: not ready");
        self.process.check(crowd);
    }
}

const READINESS_REQUEST: &str = "GET / HTTP/1.1\r\nHost: node\r\n\r\n";

/// Returns a configuration whose limits let a small crowd show a fault soon.
fn configuration() -> serde_json::Value {
    let mut document = config_document(1, WorkspaceLimit::default());
    document["limits"] = json!({"header_bytes": 16384, "body_bytes": BODY_BYTES,
        "header_timeout_ms": 1000, "idle_timeout_ms": 5000});
    for route in document["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(20_000);
    }
    document
}
