//! Startup and graceful shutdown of a gateway.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Response, StatusCode};
use actix_rt::task::JoinHandle;
use lycheelatch_settings::GatewaySettings;
use tokio::{
    net::{TcpListener, UdpSocket},
    time::{Instant, sleep},
};

use crate::{
    BootClock, CallerLimits, ClusterClock, Dialect, Gateway, GatewayMetrics, Leadership,
    PlatformApi, Store, StoreLayout, cache_exchange,
    client_connection::ReadLimits,
    connection_table::{ConnectionTable, ResponseMemory},
    event_log::log_event,
    gossip, leader, members,
    node_event::NodeEvent,
    read_barrier::ReadBarrier,
    report, rollout_leader, rollout_status, scale, serve,
    server::{self, ServerLimits, empty},
    store_watch, stream_record,
    sync::StoreView,
    version_record, view_exchange,
};

/// Timeouts of connections to the readiness, peer and metrics servers.
const INTERNAL_LIMITS: ServerLimits = ServerLimits {
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
    read: ReadLimits { head: 16 * 1024, unread_body: 64 * 1024 },
};

/// Name of the callers' listener in logs and metrics.
const CALLERS: &str = "callers";

/// Bytes by which a head may exceed its limit: blank lines before it, which the limit leaves out.
const HEAD_SLACK_BYTES: usize = 1024;

/// Number of ports that are tried where the operating system chooses one.
const MAX_BIND_ATTEMPTS: u32 = 16;

/// Interval at which the number of open requests is checked during shutdown.
const STOP_POLL: Duration = Duration::from_millis(50);

/// The platform-specific parts of a gateway.
pub struct PlatformParts {
    /// Store of the configuration, the upstreams and the leader lease.
    pub store: Rc<dyn Store>,
    /// Keys and formats of the entries that other programs write to the store.
    pub layout: Rc<dyn StoreLayout>,
    /// Headers of requests and responses.
    pub dialect: Rc<dyn Dialect>,
    /// Calls that only the leader makes.
    pub platform_api: Rc<dyn PlatformApi>,
    /// Clock that includes time spent suspended.
    pub boot: Rc<dyn BootClock>,
}

/// A running gateway.
pub struct RunningGateway {
    gateway: Rc<Gateway>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl RunningGateway {
    /// Binds the addresses and starts all tasks on the current thread.
    ///
    /// Fails if an address can't be bound.
    pub async fn start(
        mut settings: GatewaySettings,
        metrics: GatewayMetrics,
        parts: PlatformParts,
    ) -> io::Result<RunningGateway> {
        let callers = server::bind(settings.callers)?;
        let readiness = server::bind(settings.readiness)?;
        let (internal, datagrams) = bind_peers(settings.peers).await?;
        let metrics_port = server::bind(settings.metrics)?;
        // Port 0 lets the operating system choose; store the actual addresses.
        settings.callers = callers.local_addr()?;
        settings.readiness = readiness.local_addr()?;
        settings.peers = internal.local_addr()?;
        settings.metrics = metrics_port.local_addr()?;
        let time = Rc::new(ClusterClock::new(parts.boot.clone()));
        let gateway = Rc::new(Gateway::new(settings, parts.dialect, metrics, time));
        let view =
            Rc::new(StoreView::new(gateway.clone(), parts.store.clone(), parts.layout.clone()));
        let barrier = ReadBarrier::new(
            parts.store.clone(),
            view.clone(),
            version_record::record_key().into(),
        );
        gateway.read_barrier.get_or_init(|| barrier);
        let leader = Rc::new(Leadership::new(parts.boot, parts.platform_api.max_delivery()));
        let tasks = vec![
            actix_rt::spawn(serve_callers(gateway.clone(), callers)),
            actix_rt::spawn(serve_readiness(gateway.clone(), readiness)),
            actix_rt::spawn(serve_internal(
                gateway.clone(),
                view.clone(),
                internal,
                connection_table(&gateway, "peers", gateway.limits.peers),
            )),
            actix_rt::spawn(serve_internal(
                gateway.clone(),
                view.clone(),
                metrics_port,
                connection_table(&gateway, "metrics", gateway.limits.probes),
            )),
            actix_rt::spawn(store_watch::watch_store(view.clone())),
            actix_rt::spawn(store_watch::run_pending_removals(view.clone())),
            actix_rt::spawn(view_exchange::follow_reader(gateway.clone(), view.clone())),
            actix_rt::spawn(view_exchange::fetch_during_outage(gateway.clone(), view)),
            actix_rt::spawn(members::keep_registered(gateway.clone(), parts.store.clone())),
            actix_rt::spawn(gossip::run(gateway.clone(), datagrams)),
            actix_rt::spawn(cache_exchange::learn_caches(gateway.clone())),
            actix_rt::spawn(stream_record::run(gateway.clone(), parts.store.clone())),
            actix_rt::spawn(version_record::run(gateway.clone(), parts.store.clone())),
            actix_rt::spawn(leader::run_election(
                gateway.clone(),
                parts.store.clone(),
                leader.clone(),
            )),
            actix_rt::spawn(rollout_leader::run(gateway.clone(), leader.clone())),
            actix_rt::spawn(rollout_status::run(
                gateway.clone(),
                parts.store.clone(),
                parts.layout,
                leader.clone(),
            )),
            actix_rt::spawn(report::report_usage(
                gateway.clone(),
                parts.store,
                leader.clone(),
                parts.platform_api.clone(),
            )),
            actix_rt::spawn(scale::run(gateway.clone(), leader, parts.platform_api)),
        ];
        log_event(&NodeEvent::Started {
            node: gateway.settings.node.as_str(),
            callers: gateway.settings.callers,
        });
        Ok(RunningGateway { gateway, tasks: RefCell::new(tasks) })
    }

    /// Returns the state shared by all requests.
    pub fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    /// Waits for callers' connections to end within the grace period, then aborts all tasks.
    ///
    /// What has no response shortly before the end is answered by the node itself.
    pub async fn stop(&self) {
        let schedule = self.gateway.start_stopping();
        log_event(&NodeEvent::Stopping { open_requests: self.gateway.open_requests() });
        while Instant::now() < schedule.end {
            if Instant::now() >= schedule.close_idle_at {
                self.gateway.close_idle();
            }
            sleep(STOP_POLL).await;
            // A connection without a request may have one on its way, or an unsent response.
            let has_closed = Instant::now() >= schedule.close_idle_at + STOP_POLL;
            if has_closed && self.gateway.open_connections() == 0 {
                break;
            }
        }
        let left = self.gateway.open_requests();
        for task in self.tasks.take() {
            task.abort();
        }
        log_event(&NodeEvent::Stopped { cut_off_requests: left });
    }
}

/// Binds the address at which other nodes reach this one, for connections and for datagrams.
///
/// A port that the operating system chooses for the one may be in use for the other; then another
/// one is tried.
async fn bind_peers(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempts_left = MAX_BIND_ATTEMPTS;
    loop {
        let listener = server::bind(address)?;
        attempts_left -= 1;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(err) if address.port() != 0 || attempts_left == 0 => return Err(err),
            Err(err) => log::debug!("peers: a port is not free for datagrams: {err}"),
        }
    }
}

fn connection_table(gateway: &Gateway, name: &'static str, max: usize) -> Rc<ConnectionTable> {
    let closed = gateway.metrics.closed_connections.clone();
    let responses = match name {
        CALLERS => ResponseMemory::Always,
        _ => ResponseMemory::WithinBudget,
    };
    let memory = gateway.client_memory.clone();
    Rc::new(ConnectionTable::new(name, max, memory, responses, closed))
}

async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let limits_of = gateway.clone();
    let limits = move || {
        let limits = limits_of.table().map_or_else(CallerLimits::default, |table| table.limits);
        ServerLimits {
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
            read: ReadLimits {
                head: limits.head_bytes + HEAD_SLACK_BYTES,
                unread_body: limits.body_bytes,
            },
        }
    };
    let table = connection_table(&gateway, CALLERS, gateway.limits.callers);
    let drain = gateway.drain();
    let handler = move |req| serve::handle(gateway.clone(), req);
    server::serve(listener, table, limits, Some(drain), handler).await;
}

async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    let table = connection_table(&gateway, "readiness", gateway.limits.probes);
    let handler = move |_req| {
        let status =
            if gateway.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let response: Response<actix_http::body::BoxBody> = empty(status);
        std::future::ready(response)
    };
    server::serve(listener, table, || INTERNAL_LIMITS, None, handler).await;
}

async fn serve_internal(
    gateway: Rc<Gateway>,
    view: Rc<StoreView>,
    listener: TcpListener,
    table: Rc<ConnectionTable>,
) {
    let handler = move |req| view_exchange::handle_request(gateway.clone(), view.clone(), req);
    server::serve(listener, table, || INTERNAL_LIMITS, None, handler).await;
}
