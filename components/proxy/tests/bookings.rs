//! Bookings through the whole pipeline happen once, and refusals are true.

mod bench;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use actix_web::{http::StatusCode, test::TestRequest};
use bench::{Bench, DESK, TOKEN, TestNode};
use futures_util::future::join_all;
use lycheelatch_fakes::Fault;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::sleep;

const SEED: u64 = 20261204;
const BOOKINGS: usize = 300;
const TRIES: usize = 30;

/// One answer: the request's id, its status and its outcome.
struct Told {
    request: String,
    status: StatusCode,
    outcome: String,
}

struct Callers {
    nodes: Vec<Rc<TestNode>>,
    rng: RefCell<StdRng>,
    requests: Cell<usize>,
    told: RefCell<Vec<Told>>,
}

impl Callers {
    fn random(&self, below: usize) -> usize {
        self.rng.borrow_mut().random_range(0..below)
    }

    async fn book(&self, node: &TestNode, booking: usize, body: &str) -> StatusCode {
        self.requests.set(self.requests.get() + 1);
        let request = format!("request-{}", self.requests.get());
        let req = TestRequest::post()
            .uri(&format!("/services/{DESK}/transfers/{booking}"))
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .insert_header(("idempotency-key", format!("transfer-{booking}")))
            .insert_header(("x-request-id", request.as_str()))
            .insert_header(("lycheelatch-timeout-ms", "2000"))
            .insert_header(("content-length", body.len()))
            .set_payload(body.to_owned());
        let answer = node.serve(req.to_request()).await;
        let status = answer.status();
        let outcome =
            answer.headers().get("lycheelatch-outcome").unwrap().to_str().unwrap().to_owned();
        self.told.borrow_mut().push(Told { request, status, outcome });
        status
    }

    /// Tries at random nodes until the booking is confirmed.
    async fn book_until_told(&self, booking: usize) -> bool {
        for _ in 0..TRIES {
            let node = self.nodes[self.random(self.nodes.len())].clone();
            if self.book(&node, booking, "twelve bales").await == StatusCode::CREATED {
                return true;
            }
            sleep(Duration::from_millis(self.random(2000) as u64)).await;
        }
        false
    }
}

async fn callers(bench: &Bench) -> Callers {
    let mut nodes = Vec::new();
    for name in ["a", "b", "c", "d"] {
        nodes.push(bench.node(name).await);
    }
    let rng = RefCell::new(StdRng::seed_from_u64(SEED));
    Callers { nodes, rng, requests: Cell::new(0), told: RefCell::default() }
}

async fn fail_in_turn(bench: &Bench, callers: &Callers) {
    loop {
        let delay = Duration::from_millis(100 + callers.random(700) as u64);
        let faults = [
            Fault::Refuse,
            Fault::LoseResponse,
            Fault::Silent,
            Fault::Slow(delay),
            Fault::SlowThenLoseResponse(delay),
        ];
        bench.kv.faults.set_default(faults[callers.random(faults.len())]);
        sleep(delay).await;
        bench.kv.faults.clear();
        sleep(Duration::from_millis(callers.random(2000) as u64)).await;
    }
}

#[actix::test]
async fn bookings_under_faults_happen_once() {
    tokio::time::pause();
    let bench = Bench::new(0, Duration::ZERO);
    let callers = callers(&bench).await;
    bench.desk.set_faults(true);
    let booking = join_all((0..BOOKINGS).map(|booking| callers.book_until_told(booking)));
    let booked = tokio::select! {
        biased;
        booked = booking => booked,
        () = fail_in_turn(&bench, &callers) => unreachable!(),
    };
    let (by_path, by_request) = (bench.desk.by_path(), bench.desk.by_request());
    assert!(by_path.values().all(|count| *count == 1), "a booking was doubled: {by_path:?}");
    assert!(by_path.len() > BOOKINGS * 9 / 10, "only {} were executed", by_path.len());
    assert!(booked.iter().filter(|booked| **booked).count() > BOOKINGS * 8 / 10);
    let told = callers.told.borrow();
    for told in told.iter().filter(|told| told.outcome == "not-run") {
        assert!(!by_request.contains_key(&told.request), "{} ran", told.request);
    }
    for outcome in ["complete", "not-run", "unknown"] {
        assert!(told.iter().any(|told| told.outcome == outcome), "no {outcome} was seen");
    }
}

#[actix::test]
async fn bookings_of_a_node_that_stops_are_finished() {
    tokio::time::pause();
    let bench = Bench::new(0, Duration::ZERO);
    let callers = callers(&bench).await;
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
    assert_eq!(callers.told.borrow().last().unwrap().outcome, "not-run");
}

#[actix::test]
async fn bookings_key_with_another_body_is_refused() {
    tokio::time::pause();
    let bench = Bench::new(0, Duration::ZERO);
    let callers = callers(&bench).await;
    let nodes = &callers.nodes;
    assert_eq!(callers.book(&nodes[0], 1, "twelve bales").await, StatusCode::CREATED);
    let other = callers.book(&nodes[1], 1, "thirteen bales").await;
    assert_eq!(other, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(callers.book(&nodes[2], 1, "twelve bales").await, StatusCode::CREATED);
    assert_eq!(bench.desk.by_path()["/transfers/1"], 1);
    let told = callers.told.borrow();
    assert!(told.iter().all(|told| told.status.is_success() != (told.outcome == "not-run")));
}

#[actix::test]
async fn bookings_without_the_service_of_claims_are_refused_truly() {
    tokio::time::pause();
    let bench = Bench::new(0, Duration::ZERO);
    let callers = callers(&bench).await;
    bench.kv.faults.set_default(Fault::LoseResponse);
    let refused = callers.book(&callers.nodes[0], 1, "twelve bales").await;
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(callers.told.borrow()[0].outcome, "not-run");
    assert!(bench.desk.by_path().is_empty());
}
