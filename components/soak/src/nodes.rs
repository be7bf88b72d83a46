//! Node processes: start, signals, end.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::time::Instant;

/// One node and its process.
pub(crate) struct Node {
    program: PathBuf,
    settings: PathBuf,
    pub(crate) callers: SocketAddr,
    child: RefCell<Option<Child>>,
    /// When it was last disturbed.
    pub(crate) disturbed: Cell<Instant>,
    pub(crate) is_paused: Cell<bool>,
}

/// Addresses of one node.
struct Ports {
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
}

impl Ports {
    /// Takes free ports from the operating system.
    fn free() -> Ports {
        let sockets: Vec<_> = (0..4)
            .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let port = |at: usize| sockets[at].local_addr().expect("bound");
        Ports { callers: port(0), readiness: port(1), peers: port(2), metrics: port(3) }
    }
}

impl Node {
    /// Writes the settings of a node and starts it.
    pub(crate) fn start(
        at: usize,
        program: PathBuf,
        dir: &std::path::Path,
        store: SocketAddr,
        is_first_start: bool,
    ) -> Node {
        let ports = Ports::free();
        let name = format!("node-{at}");
        let settings = dir.join(format!("{name}.json"));
        let text = json!({"gateway": {
            "node": name, "zone": format!("zone-{at}"), "callers": ports.callers,
            "readiness": ports.readiness, "peers": ports.peers, "metrics": ports.metrics,
            "seeds": [], "first_start": is_first_start.to_string(), "store": store, "duties": store,
            "retry": {"ratio": "0.2", "extra": "50", "window": "10s"},
            "usage_window": "1s", "usage_due": "6s", "duty_lease": "2s", "grace": "6s",
            "log": {"level": "warn"},
        }});
        std::fs::write(&settings, text.to_string()).expect("a directory to write to");
        let node = Node {
            program,
            settings,
            callers: ports.callers,
            child: RefCell::new(None),
            disturbed: Cell::new(Instant::now()),
            is_paused: Cell::new(false),
        };
        node.spawn();
        node
    }

    /// Starts the process, if it does not run.
    pub(crate) fn spawn(&self) {
        self.disturbed.set(Instant::now());
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the node's program");
        self.child.replace(Some(child));
    }

    /// Starts the process again if it has ended.
    pub(crate) fn revive(&self) {
        let has_ended = match &mut *self.child.borrow_mut() {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        };
        if has_ended {
            self.spawn();
        }
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        self.disturbed.set(Instant::now());
        let id = self.child.borrow().as_ref().map(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            // The process may have ended by itself meanwhile.
            let _ended = kill_process(pid, signal);
        }
        match signal {
            Signal::STOP => self.is_paused.set(true),
            Signal::CONT => self.is_paused.set(false),
            _ => {}
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _reaped = child.wait();
        }
    }
}
