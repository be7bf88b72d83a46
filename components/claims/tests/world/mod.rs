//! In-memory simulation of nodes, callers and an order application, under a paused clock.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use lycheelatch_claims::{
    BodyDigest, ClaimDecision, Claims, ClaimsConfig, Settlement, StoredResponse,
};
use lycheelatch_fakes::{MemoryKv, MemoryNet};
use lycheelatch_peers::MemberState;
use lycheelatch_prelude::{NodeId, RequestId};
use tokio::{
    sync::{mpsc, oneshot},
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// Behavior of the order application for one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Upstream {
    /// Executes the request and responds.
    Respond,
    /// Executes the request, but the response is lost.
    LoseResponse,
    /// Is not reachable.
    Unreachable,
    /// Executes the request and responds after this delay.
    Slow(Duration),
}

/// Result of a call, as the caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// The booking was made.
    Booked,
    /// The request was not executed.
    NotRun,
    /// An earlier request with the key is running; this one was not executed.
    Running,
    /// The booking may have been made.
    Unknown,
    /// The connection to the node was lost.
    Disconnected,
}

/// Executions by the order application.
#[derive(Default)]
pub(crate) struct Ledger {
    /// Number of executions of each key.
    pub(crate) by_key: HashMap<u64, u32>,
    /// Number of executions of each request.
    pub(crate) by_request: HashMap<RequestId, u32>,
}

impl Ledger {
    fn record(&mut self, booking: &Booking) {
        *self.by_key.entry(booking.key).or_default() += 1;
        *self.by_request.entry(booking.request.clone()).or_default() += 1;
    }
}

/// One request of a caller.
pub(crate) struct Booking {
    /// Idempotency key.
    pub(crate) key: u64,
    /// Identifier of this request.
    pub(crate) request: RequestId,
    /// Behavior of the order application.
    pub(crate) upstream: Upstream,
    /// Time left until the caller's deadline.
    pub(crate) deadline: Duration,
}

/// Node whose claims run in one task set, so that dropping the set kills the node.
pub(crate) struct Node {
    id: NodeId,
    requests: mpsc::UnboundedSender<(Booking, oneshot::Sender<CallResult>)>,
    kill: RefCell<Option<oneshot::Sender<()>>>,
}

/// Services and state that all nodes share.
#[derive(Clone, Default)]
pub(crate) struct World {
    /// Key-value service.
    pub(crate) kv: MemoryKv,
    /// Network between the nodes.
    pub(crate) net: MemoryNet,
    /// Executions by the order application.
    pub(crate) ledger: Rc<RefCell<Ledger>>,
}

impl World {
    /// Starts a node; without peers it commits all its operations itself.
    pub(crate) fn start_node(&self, name: &str, cfg: ClaimsConfig, has_peers: bool) -> Node {
        let id: NodeId = name.parse().unwrap();
        let link = self.net.join(id.clone(), "lima-a".parse().unwrap(), "lima".parse().unwrap());
        let kv = Arc::new(self.kv.clone());
        let claims = match has_peers {
            true => Claims::with_peers(kv, cfg, link),
            false => Claims::new(kv, cfg),
        };
        let (requests, rx) = mpsc::unbounded_channel();
        let (kill, killed) = oneshot::channel();
        let ledger = self.ledger.clone();
        spawn_local(async move {
            let tasks = LocalSet::new();
            tokio::select! {
                biased;
                () = tasks.run_until(serve(claims, ledger, rx)) => {}
                _killed = killed => {}
            }
        });
        Node { id, requests, kill: RefCell::new(Some(kill)) }
    }

    /// Kills a node and disconnects it from `others`.
    pub(crate) fn kill_node(&self, node: &Node, others: &[NodeId]) {
        drop(node.kill.borrow_mut().take());
        self.net.set_state(&node.id, MemberState::Dead);
        for other in others.iter().filter(|other| **other != node.id) {
            self.net.cut(other, &node.id);
            self.net.cut(&node.id, other);
        }
    }
}

impl Node {
    pub(crate) fn id(&self) -> &NodeId {
        &self.id
    }

    /// Sends a request and waits for the result.
    pub(crate) async fn call(&self, booking: Booking) -> CallResult {
        let (tx, rx) = oneshot::channel();
        if self.requests.send((booking, tx)).is_err() {
            return CallResult::Disconnected;
        }
        rx.await.unwrap_or(CallResult::Disconnected)
    }
}

async fn serve(
    claims: Claims,
    ledger: Rc<RefCell<Ledger>>,
    mut rx: mpsc::UnboundedReceiver<(Booking, oneshot::Sender<CallResult>)>,
) {
    let maintenance = claims.clone();
    spawn_local(async move { maintenance.maintain().await });
    while let Some((booking, tx)) = rx.recv().await {
        let (claims, ledger) = (claims.clone(), ledger.clone());
        spawn_local(async move {
            let result = book(&claims, &ledger, booking).await;
            let _caller_gone = tx.send(result);
        });
    }
}

async fn book(claims: &Claims, ledger: &RefCell<Ledger>, booking: Booking) -> CallResult {
    let workspace = "cusco".parse().unwrap();
    let service = "sack-desk".parse().unwrap();
    let key = booking.key.to_string();
    let body = BodyDigest::of(key.as_bytes());
    let key = key.parse().unwrap();
    let claim = claims.claim(&workspace, &service, &key, body, &booking.request, booking.deadline);
    match claim.await {
        Ok(ClaimDecision::Acquired(ticket)) => {
            let (settlement, result) = execute(ledger, &booking).await;
            let _deferred = claims.settle(ticket, settlement).await;
            result
        }
        Ok(ClaimDecision::Finished(_)) => CallResult::Booked,
        Ok(ClaimDecision::Running { .. }) => CallResult::Running,
        Ok(ClaimDecision::OutcomeUnknown) => CallResult::Unknown,
        Ok(ClaimDecision::BodyMismatch) => panic!("reported a mismatch for the same body"),
        Err(_) => CallResult::NotRun,
    }
}

async fn execute(ledger: &RefCell<Ledger>, booking: &Booking) -> (Settlement, CallResult) {
    const NETWORK_DELAY: Duration = Duration::from_millis(2);
    sleep(NETWORK_DELAY).await;
    if booking.upstream == Upstream::Unreachable {
        return (Settlement::NotRun, CallResult::NotRun);
    }
    ledger.borrow_mut().record(booking);
    match booking.upstream {
        Upstream::LoseResponse => return (Settlement::Unknown, CallResult::Unknown),
        Upstream::Slow(delay) => sleep(delay).await,
        Upstream::Respond | Upstream::Unreachable => sleep(NETWORK_DELAY).await,
    }
    let body = Bytes::from(format!("booked {}", booking.key));
    let response = StoredResponse { status: 201, headers: Vec::new(), body };
    (Settlement::Finished(response), CallResult::Booked)
}
