//! Streams that clients take up at other nodes, while versions come and go with and without an
//! order, the shares of their route change, and two nodes are cut off together.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use actix_rt::task::JoinHandle;
use lycheelatch_fakes::entry::{
    Behavior, ReceivedRequest, ScriptedUpstream, request, upstream_entry,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::{check::Violation, cluster::Cluster, nodes::Cut};

/// Separates the random numbers of this scenario from those of the other faults.
const SEED: u64 = 0x7a9e;

/// Services of the route, whose versions have the same names.
const SERVICES: [&str; 2] = ["first", "second"];

/// Weights that the services may have.
const SHARES: [[u32; 2]; 5] = [[100, 0], [90, 10], [50, 50], [10, 90], [0, 100]];

const PATH: &str = "/resume/split/";
const CALLERS: usize = 8;
const UPSTREAMS: usize = 2;
const MAX_VERSIONS: usize = 3;

/// Time until all nodes have the first versions and the route.
const START_TIME: Duration = Duration::from_secs(2);

/// Number of events of a stream.
const EVENTS: u64 = 6;

/// Time within which a client has the events that it waits for.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an upstream that leaves says so.
const DRAIN_TIME: Duration = Duration::from_millis(600);

/// Minimum number of streams from which a share is judged.
const MIN_STREAMS: usize = 12;

/// Upstreams of one version of a service.
struct VersionUpstreams {
    service: usize,
    number: usize,
    upstreams: Vec<ScriptedUpstream>,
}

impl VersionUpstreams {
    fn key(&self, at: usize) -> String {
        format!("servers/{}-v{}-{at}", SERVICES[self.service], self.number)
    }

    fn put(&self, cluster: &Cluster, state: &str) {
        for (at, upstream) in self.upstreams.iter().enumerate() {
            let mut entry = upstream_entry(upstream.address(), state);
            entry["service"] = json!(SERVICES[self.service]);
            entry["version"] = json!(format!("v{}", self.number));
            cluster.store().put(&self.key(at), &entry);
        }
    }
}

/// A stream that a client took up once.
#[derive(Debug)]
struct TakenUp {
    /// Service and version of all events, over both requests.
    labels: BTreeSet<String>,
    went_on: bool,
    /// Whether nothing was disturbed, and nothing that the stream depends on changed.
    is_quiet: bool,
}

/// Upstreams of this scenario, and the record of its streams.
pub(crate) struct TakenUpLog {
    shares: Cell<[u32; 2]>,
    versions: RefCell<Vec<VersionUpstreams>>,
    next_version: Cell<usize>,
    changed_at: Cell<Instant>,
    streams: RefCell<Vec<TakenUp>>,
}

impl TakenUpLog {
    pub(crate) fn new() -> TakenUpLog {
        TakenUpLog {
            shares: Cell::new(SHARES[1]),
            versions: RefCell::default(),
            next_version: Cell::new(1),
            changed_at: Cell::new(Instant::now()),
            streams: RefCell::default(),
        }
    }

    /// Adds the services and their route to a configuration.
    pub(crate) fn add_to(&self, config: &mut Value) {
        for name in SERVICES {
            let mut service = config["services"][0].clone();
            service["name"] = json!(name);
            service.as_object_mut().expect("an object").remove("scaling");
            config["services"].as_array_mut().expect("services").push(service);
        }
        let routes = config["routes"].as_array_mut().expect("routes");
        let mut route = routes.last().expect("a route").clone();
        route["name"] = json!("split");
        route["path_prefix"] = json!(PATH);
        let split = SERVICES.iter().zip(self.shares.get()).filter(|(_, weight)| *weight > 0);
        let split = split.map(|(name, weight)| json!({"service": name, "weight": weight}));
        route["traffic_split"] = split.collect();
        routes.push(route);
    }

    /// Returns how many streams went on, and checks what clients saw.
    pub(crate) fn check(&self) -> (String, Vec<Violation>) {
        let streams = self.streams.borrow();
        let begun = streams.len();
        let went_on = streams.iter().filter(|stream| stream.went_on).count();
        let quiet: Vec<_> = streams.iter().filter(|stream| stream.is_quiet).collect();
        let quiet_begun = quiet.len();
        let quiet_went_on = quiet.iter().filter(|stream| stream.went_on).count();
        let note = format!(
            "streams taken up: {went_on} of {begun} went on; undisturbed: {quiet_went_on} of {quiet_begun}"
        );
        let joined = streams.iter().filter(|stream| stream.labels.len() > 1);
        let mut violations: Vec<_> = joined
            .map(|stream| Violation {
                guarantee: "a stream goes on at the service and version that began it",
                detail: format!("{:?}", stream.labels),
            })
            .collect();
        if quiet_begun >= MIN_STREAMS && quiet_went_on * 2 < quiet_begun {
            violations.push(Violation {
                guarantee: "streams that clients take up go on",
                detail: format!("{quiet_went_on} of {quiet_begun}"),
            });
        }
        (note, violations)
    }

    async fn add_version(&self, cluster: &Cluster, service: usize) {
        let number = self.next_version.replace(self.next_version.get() + 1);
        let label = format!("{}/v{number}", SERVICES[service]);
        let mut upstreams = Vec::new();
        for _ in 0..UPSTREAMS {
            let upstream = ScriptedUpstream::start([]).await;
            let label = label.clone();
            upstream.set_choice(move |req| Some(labelled_events(&label, req)));
            upstreams.push(upstream);
        }
        let version = VersionUpstreams { service, number, upstreams };
        version.put(cluster, "ready");
        self.versions.borrow_mut().push(version);
    }

    /// Lets the oldest version of a service leave, if there is another one.
    async fn remove_version(&self, cluster: &Cluster, service: usize) {
        let leaving = {
            let mut versions = self.versions.borrow_mut();
            let of_service = versions.iter().filter(|version| version.service == service).count();
            let oldest = versions.iter().position(|version| version.service == service);
            oldest.filter(|_| of_service > 1).map(|at| versions.remove(at))
        };
        let Some(leaving) = leaving else { return };
        leaving.put(cluster, "draining");
        sleep(DRAIN_TIME).await;
        (0..UPSTREAMS).for_each(|at| cluster.store().delete(&leaving.key(at)));
    }

    fn version_count(&self, service: usize) -> usize {
        self.versions.borrow().iter().filter(|version| version.service == service).count()
    }

    /// Reports a roll-out to the newest version of a service as completed.
    fn complete_rollout(&self, cluster: &Cluster, service: usize) {
        let versions = self.versions.borrow();
        let newest = versions.iter().rfind(|version| version.service == service);
        if let Some(newest) = newest {
            let status = json!({"state": "completed", "to": format!("v{}", newest.number)});
            cluster.store().put(&format!("status/rollout/{}", SERVICES[service]), &status);
        }
    }
}

/// Returns the events of a stream after the last one that the request names.
fn labelled_events(label: &str, req: &ReceivedRequest) -> Behavior {
    let after = req.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let events = (after + 1..=EVENTS).map(|number| format!("id: {number}\ndata: {label}\n\n"));
    Behavior::event_text(events.collect())
}

/// Starts a version of each service, the clients and the changes; returns the tasks.
pub(crate) async fn start(cluster: &Rc<Cluster>) -> Vec<JoinHandle<()>> {
    for service in 0..SERVICES.len() {
        cluster.taken_up().add_version(cluster, service).await;
    }
    cluster.update_config();
    sleep(START_TIME).await;
    let callers = (0..CALLERS).map(|at| actix_rt::spawn(take_up_forever(cluster.clone(), at)));
    let changes = actix_rt::spawn(disturb_forever(cluster.clone()));
    callers.chain([changes]).collect()
}

/// Changes versions and shares, and cuts nodes off, until the task is dropped.
async fn disturb_forever(cluster: Rc<Cluster>) {
    let mut rng = StdRng::seed_from_u64(cluster.seed() ^ SEED);
    let log = cluster.taken_up();
    loop {
        sleep(Duration::from_millis(rng.random_range(300..1500))).await;
        let service = rng.random_range(0..SERVICES.len());
        log.changed_at.set(Instant::now());
        match rng.random_range(0..6) {
            0 | 1 => {
                log.shares.set(*SHARES.choose(&mut rng).expect("not empty"));
                cluster.update_config();
            }
            2 if log.version_count(service) < MAX_VERSIONS => {
                log.add_version(&cluster, service).await;
            }
            3 => log.complete_rollout(&cluster, service),
            4 => cut_off_two(&cluster, service).await,
            _ => log.remove_version(&cluster, service).await,
        }
        log.changed_at.set(Instant::now());
    }
}

/// Cuts two nodes off from the store; a version joins, and then they hear the third one no more.
async fn cut_off_two(cluster: &Cluster, service: usize) {
    let [first, second, third] = cluster.nodes() else { return };
    [first, second].iter().for_each(|node| node.cut(Cut::Store));
    cluster.taken_up().add_version(cluster, service).await;
    sleep(Duration::from_millis(1200)).await;
    third.signal(Signal::STOP);
    sleep(Duration::from_millis(1500)).await;
    third.signal(Signal::CONT);
    [first, second].iter().for_each(|node| node.heal(Cut::Store));
}

/// Begins streams and takes them up, until the task is dropped.
async fn take_up_forever(cluster: Rc<Cluster>, caller: usize) {
    let mut rng = StdRng::seed_from_u64(cluster.seed() ^ SEED ^ (caller as u64 + 1));
    for number in 0_usize.. {
        let [from, to] = [0, 1].map(|_| rng.random_range(0..cluster.nodes().len()));
        let wait = Duration::from_millis(rng.random_range(0..900));
        let id = format!("t{caller}-{number}");
        let began_at = Instant::now();
        let begun = read_events(&cluster, from, &id, "", rng.random_range(1..EVENTS)).await;
        sleep(wait).await;
        let Some(last) = u64::try_from(begun.len()).ok().filter(|count| *count > 0) else {
            continue;
        };
        let headers = format!("Resumes: {id}\r\nLast-Event-Id: {last}\r\n");
        let rest = read_events(&cluster, to, &format!("{id}-next"), &headers, EVENTS - last).await;
        let is_quiet = cluster.is_quiet() && cluster.taken_up().changed_at.get() < began_at;
        cluster.taken_up().streams.borrow_mut().push(TakenUp {
            labels: begun.iter().chain(&rest).cloned().collect(),
            went_on: !rest.is_empty(),
            is_quiet,
        });
    }
}

/// Sends a request to a node and reads at most `count` events; returns what they hold.
async fn read_events(
    cluster: &Cluster,
    node: usize,
    id: &str,
    headers: &str,
    count: u64,
) -> Vec<String> {
    let mut body = Vec::new();
    let reading = async {
        let mut io = TcpStream::connect(cluster.nodes()[node].callers).await?;
        io.write_all(request("POST", PATH, id, headers, "").as_bytes()).await?;
        while (events(&body).len() as u64) < count {
            if io.read_buf(&mut body).await? == 0 {
                break;
            }
        }
        std::io::Result::Ok(())
    };
    // What has come is what the client has, however the connection ends.
    let _ended = timeout(READ_TIMEOUT, reading).await;
    let mut read = events(&body);
    read.truncate(usize::try_from(count).unwrap_or(usize::MAX));
    read
}

/// Returns what each whole event in a response holds.
fn events(response: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(response);
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    whole.lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect()
}
