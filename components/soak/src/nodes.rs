//! Node processes: start, signals and termination.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use lycheelatch_fakes::TcpLink;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::time::Instant;

use crate::rollouts::{EXPOSURE, EXTRA};

/// Minimum time without a disturbance after which a guarantee with a time bound is checked.
pub(crate) const QUIET_TIME: Duration = Duration::from_secs(4);

/// Time to live of the leader's lease.
pub(crate) const LEADER_LEASE: Duration = Duration::from_secs(2);

/// A node and its process; dropping it kills the process.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) links: Links,
    program: PathBuf,
    settings: PathBuf,
    pub(crate) callers: SocketAddr,
    child: RefCell<Option<Child>>,
    /// Time of the last start of the process or signal to it.
    pub(crate) last_disturbance: Cell<Instant>,
    pub(crate) is_paused: Cell<bool>,
    /// When the process went on after a pause.
    resumed_at: RefCell<Vec<Instant>>,
}

/// Links from one node to the platform.
pub(crate) struct Links {
    pub(crate) store: TcpLink,
    pub(crate) api: TcpLink,
}

impl Links {
    /// Starts both links to the platform.
    pub(crate) async fn start(platform: SocketAddr) -> Links {
        Links { store: TcpLink::start(platform).await, api: TcpLink::start(platform).await }
    }

    fn is_any_cut(&self) -> bool {
        self.store.is_cut() || self.api.is_cut()
    }
}

/// Which links of a node to the platform are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cut {
    Store,
    Api,
    Both,
}

impl Cut {
    pub(crate) const ALL: [Cut; 3] = [Cut::Store, Cut::Api, Cut::Both];

    fn links(self, links: &Links) -> impl Iterator<Item = &TcpLink> {
        let store = (self != Cut::Api).then_some(&links.store);
        let api = (self != Cut::Store).then_some(&links.api);
        store.into_iter().chain(api)
    }
}

/// Listen addresses of one node.
struct Addresses {
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
}

impl Addresses {
    /// Returns loopback addresses with free ports.
    ///
    /// All sockets stay bound until every port is known, so that the ports differ.
    fn unused() -> Addresses {
        let sockets: Vec<_> = (0..4)
            .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let addr = |at: usize| sockets[at].local_addr().expect("bound");
        Addresses { callers: addr(0), readiness: addr(1), peers: addr(2), metrics: addr(3) }
    }
}

impl Node {
    /// Writes the settings file of a node and starts the node.
    pub(crate) fn start(
        at: usize,
        program: PathBuf,
        dir: &std::path::Path,
        links: Links,
        is_first_start: bool,
    ) -> Node {
        let addresses = Addresses::unused();
        let name = format!("node-{at}");
        let settings = dir.join(format!("{name}.json"));
        let text = json!({"gateway": {
            "node": name, "zone": format!("zone-{at}"), "callers": addresses.callers,
            "readiness": addresses.readiness, "peers": addresses.peers, "metrics": addresses.metrics,
            "seeds": [], "first_start": is_first_start.to_string(), "store": links.store.address(),
            "duties": links.api.address(),
            "retry": {"ratio": "0.2", "extra": "50", "window": "10s"},
            "usage_window": "1s", "usage_due": "6s", "duty_lease": format!("{}s", LEADER_LEASE.as_secs()), "grace": "6s",
            "rollout": {"exposure": EXPOSURE.to_string(), "extra": EXTRA.to_string()},
            "log": {"level": "warn"},
        }});
        std::fs::write(&settings, text.to_string()).expect("the settings directory is writable");
        let node = Node {
            name,
            links,
            program,
            settings,
            callers: addresses.callers,
            child: RefCell::new(None),
            last_disturbance: Cell::new(Instant::now()),
            is_paused: Cell::new(false),
            resumed_at: RefCell::default(),
        };
        node.spawn();
        node
    }

    /// Starts the process and replaces the handle of the previous one.
    pub(crate) fn spawn(&self) {
        self.last_disturbance.set(Instant::now());
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the node program starts");
        self.child.replace(Some(child));
    }

    /// Starts the process again if it has exited.
    pub(crate) fn restart_if_exited(&self) {
        let has_exited = match &mut *self.child.borrow_mut() {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        };
        if has_exited {
            self.spawn();
        }
    }

    /// Returns whether the process was not disturbed within [`QUIET_TIME`].
    pub(crate) fn is_quiet(&self) -> bool {
        !self.links.is_any_cut() && self.last_disturbance.get().elapsed() > QUIET_TIME
    }

    /// Cuts links to the platform.
    pub(crate) fn cut(&self, cut: Cut) {
        cut.links(&self.links).for_each(TcpLink::cut);
    }

    /// Ends a cut.
    pub(crate) fn heal(&self, cut: Cut) {
        self.last_disturbance.set(Instant::now());
        cut.links(&self.links).for_each(TcpLink::heal);
    }

    /// Returns when the process went on after a pause, and when its link to the platform's API was
    /// restored.
    pub(crate) fn returned_at(&self) -> Vec<Instant> {
        [self.resumed_at.borrow().clone(), self.links.api.healed_at()].concat()
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        self.last_disturbance.set(Instant::now());
        let id = self.child.borrow().as_ref().map(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            // Fails if the process has already exited.
            let _exited = kill_process(pid, signal);
        }
        match signal {
            Signal::STOP => self.is_paused.set(true),
            Signal::CONT => {
                self.is_paused.set(false);
                self.resumed_at.borrow_mut().push(Instant::now());
            }
            _ => {}
        }
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
