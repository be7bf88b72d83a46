//! Bookings through the whole pipeline run at most once, and those refused as `not-run` never run.

mod bench;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use actix_web::{http::StatusCode, test::TestRequest};
use bench::{TOKEN, TRANSFER_SERVICE, TestCluster, TestNode};
use futures_util::future::join_all;
use lycheelatch_fakes::Fault;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::sleep;

const SEED: u64 = 20261204;
const BOOKINGS: usize = 300;
const MAX_TRIES: usize = 30;

/// Response to one request.
struct BookingResponse {
    request: String,
    status: StatusCode,
    outcome: String,
}

struct Callers {
    nodes: Vec<Rc<TestNode>>,
    rng: RefCell<StdRng>,
    requests: Cell<usize>,
    responses: RefCell<Vec<BookingResponse>>,
}

impl Callers {
    fn random(&self, below: usize) -> usize {
        self.rng.borrow_mut().random_range(0..below)
    }

    async fn book(&self, node: &TestNode, booking: usize, body: &str) -> StatusCode {
        self.requests.set(self.requests.get() + 1);
        let request = format!("request-{}", self.requests.get());
        let req = TestRequest::post()
            .uri(&format!("/services/{TRANSFER_SERVICE}/transfers/{booking}"))
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .insert_header(("idempotency-key", format!("transfer-{booking}")))
            .insert_header(("x-request-id", request.as_str()))
            .insert_header(("lycheelatch-timeout-ms", "2000"))
            .insert_header(("content-length", body.len()))
            .set_payload(body.to_owned());
        let response = node.serve(req.to_request()).await;
        let status = response.status();
        let outcome =
            response.headers().get("lycheelatch-outcome").unwrap().to_str().unwrap().to_owned();
        self.responses.borrow_mut().push(BookingResponse { request, status, outcome });
        status
    }

    /// Sends the booking to random nodes until it is confirmed; returns whether it was.
    async fn book_until_confirmed(&self, booking: usize) -> bool {
        for _ in 0..MAX_TRIES {
            let node = self.nodes[self.random(self.nodes.len())].clone();
            if self.book(&node, booking, "twelve bales").await == StatusCode::CREATED {
                return true;
            }
            sleep(Duration::from_millis(self.random(2000) as u64)).await;
        }
        false
    }
}

async fn callers(cluster: &TestCluster) -> Callers {
    let mut nodes = Vec::new();
    for name in ["a", "b", "c", "d"] {
        nodes.push(cluster.node(name).await);
    }
    let rng = RefCell::new(StdRng::seed_from_u64(SEED));
    Callers { nodes, rng, requests: Cell::new(0), responses: RefCell::default() }
}

async fn inject_store_faults(cluster: &TestCluster, callers: &Callers) {
    loop {
        let delay = Duration::from_millis(100 + callers.random(700) as u64);
        let faults = [
            Fault::Refuse,
            Fault::LoseResponse,
            Fault::Silent,
            Fault::Slow(delay),
            Fault::SlowThenLoseResponse(delay),
        ];
        cluster.kv.faults.set_default(faults[callers.random(faults.len())]);
        sleep(delay).await;
        cluster.kv.faults.clear();
        sleep(Duration::from_millis(callers.random(2000) as u64)).await;
    }
}

#[actix::test]
async fn bookings_under_faults_run_once() {
    tokio::time::pause();
    let cluster = TestCluster::new(0, Duration::ZERO);
    let callers = callers(&cluster).await;
    cluster.transfers.set_faults(true);
    let booking = join_all((0..BOOKINGS).map(|booking| callers.book_until_confirmed(booking)));
    let booked = tokio::select! {
        biased;
        booked = booking => booked,
        () = inject_store_faults(&cluster, &callers) => unreachable!(),
    };
    let (by_path, by_request) =
        (cluster.transfers.executions_by_path(), cluster.transfers.executions_by_request());
    assert!(
        by_path.values().all(|count| *count == 1),
        "a booking was executed more than once: {by_path:?}"
    );
    assert!(by_path.len() > BOOKINGS * 9 / 10, "only {} bookings were executed", by_path.len());
    assert!(booked.iter().filter(|booked| **booked).count() > BOOKINGS * 8 / 10);
    let responses = callers.responses.borrow();
    for response in responses.iter().filter(|response| response.outcome == "not-run") {
        assert!(!by_request.contains_key(&response.request), "{} was executed", response.request);
    }
    for outcome in ["complete", "not-run", "unknown"] {
        assert!(
            responses.iter().any(|response| response.outcome == outcome),
            "no request had the outcome {outcome}"
        );
    }
}

#[actix::test]
async fn bookings_on_stopping_node_complete() {
    tokio::time::pause();
    let cluster = TestCluster::new(0, Duration::ZERO);
    let callers = callers(&cluster).await;
    let node = callers.nodes[0].clone();
    let calls = join_all((0..50).map(|booking| callers.book(&node, booking, "twelve bales")));
    let stop = async {
        sleep(Duration::from_millis(1)).await;
        node.stop(Duration::from_secs(3)).await.1
    };
    let (statuses, cut_off) = futures_util::future::join(calls, stop).await;
    assert_eq!(cut_off, 0);
    assert!(statuses.iter().all(|status| *status == StatusCode::CREATED), "{statuses:?}");
    let refused = callers.book(&node, 99, "twelve bales").await;
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(callers.responses.borrow().last().unwrap().outcome, "not-run");
}

#[actix::test]
async fn bookings_key_with_different_body_is_refused() {
    tokio::time::pause();
    let cluster = TestCluster::new(0, Duration::ZERO);
    let callers = callers(&cluster).await;
    let nodes = &callers.nodes;
    assert_eq!(callers.book(&nodes[0], 1, "twelve bales").await, StatusCode::CREATED);
    let other = callers.book(&nodes[1], 1, "thirteen bales").await;
    assert_eq!(other, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(callers.book(&nodes[2], 1, "twelve bales").await, StatusCode::CREATED);
    assert_eq!(cluster.transfers.executions_by_path()["/transfers/1"], 1);
    let responses = callers.responses.borrow();
    assert!(
        responses
            .iter()
            .all(|response| response.status.is_success() != (response.outcome == "not-run"))
    );
}

#[actix::test]
async fn bookings_without_claim_store_are_refused_as_not_run() {
    tokio::time::pause();
    let cluster = TestCluster::new(0, Duration::ZERO);
    let callers = callers(&cluster).await;
    cluster.kv.faults.set_default(Fault::LoseResponse);
    let refused = callers.book(&callers.nodes[0], 1, "twelve bales").await;
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(callers.responses.borrow()[0].outcome, "not-run");
    assert!(cluster.transfers.executions_by_path().is_empty());
}
