//! The nodes as processes, the store, and the runners' registrations.

use std::{
    cell::{Cell, RefCell},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::Duration,
};

use lycheelatch_fakes::entry::{FakeStore, upstream_entry};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{
    links::{Links, Member, store_for},
    record::Record,
    runner::Runner,
};

/// Zones with their number of machines, as in a small deployment.
pub const ZONES: [(&str, usize); 4] = [("lima-a", 2), ("lima-b", 2), ("lima-c", 2), ("lima-d", 1)];

/// Interval at which a runner writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// `stable_window_ms` of the deployment.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Ports of a node, the same on all nodes.
#[derive(Debug, Clone, Copy)]
struct Ports {
    callers: u16,
    readiness: u16,
    peers: u16,
    metrics: u16,
}

pub struct Node {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: RefCell<Option<Child>>,
}

impl Node {
    fn spawn(&self) {
        let open = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = open.expect("the log can be written");
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .stdout(Stdio::from(log.try_clone().expect("a second handle")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the node starts");
        self.child.replace(Some(child));
    }

    /// Starts the process again.
    pub fn start(&self) {
        self.spawn();
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _reaped = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Cluster {
    pub store: FakeStore,
    pub nodes: Vec<Node>,
    pub record: Record,
    dir: PathBuf,
    /// Whether the runners reach the store.
    pub is_store_up: Rc<Cell<bool>>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _removed = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Cluster {
    /// Writes the configuration and starts all nodes, for the first time.
    pub async fn start(repository: &Path, config: &Value, record: Record) -> Cluster {
        Cluster::start_with_links(repository, config, record, &[], false).await.0
    }

    /// Does the same, with links between the nodes named `apart` and all others, and to the store
    /// if `is_store_linked`.
    pub async fn start_with_links(
        repository: &Path,
        config: &Value,
        record: Record,
        apart: &[&str],
        is_store_linked: bool,
    ) -> (Cluster, Links) {
        let none = json!({});
        Cluster::start_with(repository, config, record, apart, is_store_linked, &none).await
    }

    /// Does the same; `more` are further settings of the nodes.
    pub async fn start_with(
        repository: &Path,
        config: &Value,
        record: Record,
        apart: &[&str],
        is_store_linked: bool,
        more: &Value,
    ) -> (Cluster, Links) {
        let store = FakeStore::start().await;
        store.refuse_orders();
        store.put("op/config", config);
        let number = std::process::id();
        let dir = std::env::temp_dir().join(format!("lycheelatch-review-2-{number}"));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let program = repository.join("target/release/lycheelatchd");
        assert!(program.exists(), "the programs of the deploy file are not built");
        let network = format!("127.{}.{}", 20 + number / 250 % 200, number % 250 + 1);
        let places: Vec<(String, String)> = ZONES
            .iter()
            .flat_map(|(zone, count)| {
                (1..=*count).map(move |at| (format!("frontend-{zone}-{at}"), (*zone).to_owned()))
            })
            .collect();
        let addresses: Vec<String> =
            (0..places.len()).map(|at| format!("{network}.{}", at + 11)).collect();
        let ports = free_ports(&addresses);
        let seeds: Vec<String> = addresses.iter().take(3).map(|ip| format!("{ip}:{}", 1)).collect();
        let links = Links::default();
        let store_links = if is_store_linked { links.clone() } else { Links::default() };
        let members = places.iter().zip(&addresses).map(|((name, zone), ip)| {
            let peers = format!("{ip}:{}", ports.peers).parse().expect("an address");
            (apart.contains(&&**name), Member { peers, zone: zone.clone() })
        });
        let stores = link(&links, &store_links, members.collect(), store.address()).await;
        let mut nodes = Vec::new();
        for (((name, zone), ip), store) in places.into_iter().zip(&addresses).zip(&stores) {
            let settings = dir.join(format!("{name}.json"));
            let text = settings_text(&name, &zone, ip, ports, &seeds, *store, true, more);
            std::fs::write(&settings, text).expect("the settings can be written");
            let callers = format!("{ip}:{}", ports.callers).parse().expect("an address");
            let log = dir.join(format!("{name}.log"));
            let program = program.clone();
            let node =
                Node { name, zone, callers, settings, log, program, child: RefCell::default() };
            node.spawn();
            nodes.push(node);
        }
        record.line(&format!("{} nodes started", nodes.len()));
        // From now on a start is no first start of the whole system.
        for ((node, ip), store) in nodes.iter().zip(&addresses).zip(&stores) {
            let text =
                settings_text(&node.name, &node.zone, ip, ports, &seeds, *store, false, more);
            let changed = node.settings.clone();
            actix_rt::spawn(async move {
                sleep(Duration::from_secs(2)).await;
                std::fs::write(changed, text).expect("the settings can be written");
            });
        }
        let cluster = Cluster { store, nodes, record, dir, is_store_up: Rc::new(Cell::new(true)) };
        (cluster, links)
    }

    /// Waits until all nodes serve.
    pub async fn settle(&self) {
        sleep(STABLE_WINDOW + Duration::from_secs(2)).await;
    }

    pub fn node(&self, name: &str) -> &Node {
        self.nodes.iter().find(|node| node.name == name).expect("a node of this name")
    }

    /// Kills nodes with SIGKILL, and starts them again after `down`.
    pub async fn kill_all(&self, down: Duration) {
        self.record.line("SIGKILL to all nodes");
        self.nodes.iter().for_each(Node::kill);
        sleep(down).await;
        self.nodes.iter().for_each(Node::spawn);
        self.record.line("all nodes started again");
    }

    /// Keeps a runner's entry in the store, as the runner does while it runs and reaches the store;
    /// without it the entry ends three intervals after it was last written.
    pub fn keep_registered(&self, runner: Rc<Runner>, is_reached: Rc<Cell<bool>>) {
        let (store, is_up) = (self.store.clone(), self.is_store_up.clone());
        let record = self.record.clone();
        actix_rt::spawn(async move {
            let key = format!("servers/{}", runner.id);
            let mut written: Option<(u64, Instant)> = None;
            let mut sequence = 0;
            loop {
                let now = runner.incarnation.borrow().clone();
                let is_new = written.is_none_or(|(born, _)| born != now.born);
                let is_due = written.is_none_or(|(_, at)| at.elapsed() >= HEARTBEAT);
                if now.is_up && is_up.get() && is_reached.get() && (is_new || is_due) {
                    sequence = if is_new { 1 } else { sequence + 1 };
                    store.put(&key, &entry(&runner, sequence));
                    if is_new {
                        record.line(&format!("entry of {} says {}", runner.id, now.version));
                    }
                    written = Some((now.born, Instant::now()));
                }
                if written.is_some_and(|(_, at)| at.elapsed() >= 3 * HEARTBEAT) && is_up.get() {
                    record.line(&format!("entry of {} ends", runner.id));
                    store.delete(&key);
                    written = None;
                }
                sleep(Duration::from_millis(20)).await;
            }
        });
    }
}

fn entry(runner: &Runner, sequence: u64) -> Value {
    let state = if runner.is_draining.get() { "draining" } else { "ready" };
    let mut entry = upstream_entry(runner.address, state);
    let incarnation = runner.incarnation.borrow();
    entry["service"] = json!(runner.service);
    entry["zone"] = json!(runner.zone);
    entry["version"] = json!(incarnation.version);
    entry["slots"] = json!(64);
    entry["sequence"] = json!(sequence);
    entry["born"] = json!(incarnation.born);
    entry
}

/// Starts the links between the nodes that are marked and all others, if there are any; returns the
/// address at which each node calls the store.
async fn link(
    links: &Links,
    store_links: &Links,
    members: Vec<(bool, Member)>,
    store: SocketAddr,
) -> Vec<SocketAddr> {
    let of = |is_apart: bool| -> Vec<Member> {
        let side = members.iter().filter(|(marked, _)| *marked == is_apart);
        side.map(|(_, member)| member.clone()).collect()
    };
    let (apart, others) = (of(true), of(false));
    if apart.is_empty() {
        return vec![store; members.len()];
    }
    links.start(&apart, &others).await;
    let for_apart = store_for(store, &others, store_links).await;
    let for_others = store_for(store, &apart, &Links::default()).await;
    let stores = members.iter().map(|(is_apart, _)| if *is_apart { for_apart } else { for_others });
    stores.collect()
}

/// Returns ports that are free at all addresses.
fn free_ports(addresses: &[String]) -> Ports {
    let port = || loop {
        let first = TcpListener::bind(format!("{}:0", addresses[0])).expect("a loopback address");
        let port = first.local_addr().expect("bound").port();
        let is_free = |ip: &String| TcpListener::bind(format!("{ip}:{port}")).is_ok();
        if addresses[1..].iter().all(is_free) {
            return (port, first);
        }
    };
    let taken: Vec<_> = (0..4).map(|_| port()).collect();
    let [callers, readiness, peers, metrics] = [0, 1, 2, 3].map(|at: usize| taken[at].0);
    Ports { callers, readiness, peers, metrics }
}

#[expect(clippy::too_many_arguments, reason = "each is one field of the settings")]
/// Returns settings as the deploy template makes them of a small deployment.
fn settings_text(
    name: &str,
    zone: &str,
    ip: &str,
    ports: Ports,
    seeds: &[String],
    platform: SocketAddr,
    is_first_start: bool,
    more: &Value,
) -> String {
    let at = |port: u16| format!("{ip}:{port}");
    let mut settings = json!({"gateway": {
        "node": name, "zone": zone, "callers": at(ports.callers),
        "readiness": at(ports.readiness), "peers": at(ports.peers), "metrics": at(ports.metrics),
        "seeds": seeds, "first_start": is_first_start.to_string(),
        "store": platform.to_string(), "duties": platform.to_string(),
        "retry": {"ratio": "0.2", "extra": "54", "window": "10s"},
        "quota_window": "8s", "quota": {"overage": "0.1", "slack": "190000"},
        "grace": "8s", "change_bound": "2000ms", "duty_lease": "3000ms",
        "shortest_lease": "1000ms", "usage_window": "5s", "usage_due": "10s",
        "memory": "260MiB", "file_descriptors": "4100", "log": {"level": "info"},
    }});
    let gateway = settings["gateway"].as_object_mut().expect("an object");
    gateway.extend(more.as_object().expect("an object").clone());
    settings.to_string()
}
