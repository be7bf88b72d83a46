//! Processes of the project's node program.

use std::{
    cell::RefCell,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Addresses of the platform's services, as one node reaches them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Platform {
    pub(crate) store: SocketAddr,
    pub(crate) duties: SocketAddr,
}

/// A node; its process ends when it is dropped.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
}

impl Node {
    /// Writes the settings of a node and starts it, as on a first start of the whole system.
    ///
    /// The settings are those of the deploy file's template for a small deployment; only the
    /// addresses differ.
    pub(crate) fn start(program: &Path, dir: &Path, at: usize, platform: Platform) -> Node {
        let sockets: Vec<_> = (0..4)
            .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let address = |at: usize| sockets[at].local_addr().expect("bound");
        let name = format!("node-{at}");
        let settings = dir.join(format!("{name}.json"));
        let zone = ["zone-a", "zone-b", "zone-c"][at % 3];
        let text = json!({"gateway": {
            "node": name, "zone": zone, "callers": address(0), "readiness": address(1),
            "peers": address(2), "metrics": address(3), "seeds": [], "first_start": "true",
            "store": platform.store, "duties": platform.duties,
            "retry": {"ratio": "0.2", "extra": "54", "window": "10s"},
            "quota_window": "8s", "grace": "8s", "change_bound": "2000ms", "duty_lease": "3000ms",
            "shortest_lease": "1000ms", "usage_window": "5s", "usage_due": "10s",
            "log": {"level": "info"},
        }});
        std::fs::write(&settings, text.to_string()).expect("the folder is writable");
        let node = Node {
            callers: address(0),
            readiness: address(1),
            log: dir.join(format!("{name}.log")),
            name,
            settings,
            program: program.to_owned(),
            child: RefCell::new(None),
        };
        drop(sockets);
        node.spawn();
        node
    }

    fn spawn(&self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the folder is writable");
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the node program starts");
        self.child.replace(Some(child));
    }

    /// Waits until the node says that it is ready.
    pub(crate) async fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if timeout(Duration::from_secs(1), self.is_ready()).await == Ok(Some(true)) {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    async fn is_ready(&self) -> Option<bool> {
        let mut io = TcpStream::connect(self.readiness).await.ok()?;
        let request = "GET /-/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        io.write_all(request.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        io.read_to_end(&mut answer).await.ok()?;
        Some(answer.starts_with(b"HTTP/1.1 200"))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _reaped = child.wait();
        }
    }
}
