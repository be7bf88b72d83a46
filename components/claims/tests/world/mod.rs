//! Nodes, callers and an order application in memory, under a paused clock.

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

/// What the order application does with one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Upstream {
    /// Runs it and answers.
    Answer,
    /// Runs it, and the answer is lost.
    LoseAnswer,
    /// Can't be reached.
    Unreachable,
    /// Runs it, and takes this long to answer.
    Slow(Duration),
}

/// What a caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Told {
    /// The booking is made.
    Booked,
    /// This request did not run.
    NotRun,
    /// An earlier request with the key is running; this one did not run.
    Running,
    /// The booking may have been made.
    Unknown,
    /// The connection to the node broke.
    Broken,
}

/// What the order application has executed.
#[derive(Default)]
pub(crate) struct Ledger {
    /// Executions of each key.
    pub(crate) by_key: HashMap<u64, u32>,
    /// Executions of each request.
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
    /// Identity of this try.
    pub(crate) request: RequestId,
    /// What the order application does with it.
    pub(crate) upstream: Upstream,
    /// Time until the caller's deadline.
    pub(crate) deadline: Duration,
}

/// One node: its claims in a task set that can be dropped as a whole.
pub(crate) struct Node {
    id: NodeId,
    requests: mpsc::UnboundedSender<(Booking, oneshot::Sender<Told>)>,
    kill: RefCell<Option<oneshot::Sender<()>>>,
}

/// Everything that the nodes share.
#[derive(Clone, Default)]
pub(crate) struct World {
    /// The key-value service.
    pub(crate) kv: MemoryKv,
    /// The links between the nodes.
    pub(crate) net: MemoryNet,
    /// What was executed.
    pub(crate) ledger: Rc<RefCell<Ledger>>,
}

impl World {
    /// Starts a node; one that is not linked commits everything itself.
    pub(crate) fn start_node(&self, name: &str, cfg: ClaimsConfig, is_linked: bool) -> Node {
        let id: NodeId = name.parse().unwrap();
        let link = self.net.join(id.clone(), "lima-a".parse().unwrap(), "lima".parse().unwrap());
        let kv = Arc::new(self.kv.clone());
        let claims = match is_linked {
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

    /// Ends a node at once; its links are cut.
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
    /// Returns the identity of the node.
    pub(crate) fn id(&self) -> &NodeId {
        &self.id
    }

    /// Sends a request and waits for what the caller is told.
    pub(crate) async fn call(&self, booking: Booking) -> Told {
        let (tx, rx) = oneshot::channel();
        if self.requests.send((booking, tx)).is_err() {
            return Told::Broken;
        }
        rx.await.unwrap_or(Told::Broken)
    }
}

async fn serve(
    claims: Claims,
    ledger: Rc<RefCell<Ledger>>,
    mut rx: mpsc::UnboundedReceiver<(Booking, oneshot::Sender<Told>)>,
) {
    let maintained = claims.clone();
    spawn_local(async move { maintained.maintain().await });
    while let Some((booking, tx)) = rx.recv().await {
        let (claims, ledger) = (claims.clone(), ledger.clone());
        spawn_local(async move {
            let told = book(&claims, &ledger, booking).await;
            let _caller_gone = tx.send(told);
        });
    }
}

async fn book(claims: &Claims, ledger: &RefCell<Ledger>, booking: Booking) -> Told {
    let workspace = "cusco".parse().unwrap();
    let service = "sack-desk".parse().unwrap();
    let key = booking.key.to_string();
    let body = BodyDigest::of(key.as_bytes());
    let key = key.parse().unwrap();
    let claim = claims.claim(&workspace, &service, &key, body, &booking.request, booking.deadline);
    match claim.await {
        Ok(ClaimDecision::Acquired(ticket)) => {
            let (settlement, told) = execute(ledger, &booking).await;
            let _deferred = claims.settle(ticket, settlement).await;
            told
        }
        Ok(ClaimDecision::Finished(_)) => Told::Booked,
        Ok(ClaimDecision::Running { .. }) => Told::Running,
        Ok(ClaimDecision::OutcomeUnknown) => Told::Unknown,
        Ok(ClaimDecision::BodyMismatch) => panic!("same body, and told to differ"),
        Err(_) => Told::NotRun,
    }
}

async fn execute(ledger: &RefCell<Ledger>, booking: &Booking) -> (Settlement, Told) {
    const HOP: Duration = Duration::from_millis(2);
    sleep(HOP).await;
    if booking.upstream == Upstream::Unreachable {
        return (Settlement::NotRun, Told::NotRun);
    }
    ledger.borrow_mut().record(booking);
    match booking.upstream {
        Upstream::LoseAnswer => return (Settlement::Unknown, Told::Unknown),
        Upstream::Slow(delay) => sleep(delay).await,
        Upstream::Answer | Upstream::Unreachable => sleep(HOP).await,
    }
    let body = Bytes::from(format!("booked {}", booking.key));
    let answer = StoredResponse { status: 201, headers: Vec::new(), body };
    (Settlement::Finished(answer), Told::Booked)
}
