//! A plain service for transfers in memory that counts executions.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream;
use lycheelatch_upstream::{PlainRequest, PlainResponse, PlainService, UpstreamError};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::sleep;

/// A plain service for transfers in memory; clones share their state.
#[derive(Clone)]
pub(crate) struct MemoryTransferService(Arc<Mutex<State>>);

struct State {
    rng: StdRng,
    has_faults: bool,
    by_path: HashMap<String, u32>,
    by_request: HashMap<String, u32>,
}

/// Behavior of the service for one request.
enum Behavior {
    Answer,
    Refuse,
    Unreachable,
    BreakBefore,
    BreakAfter,
    Slow,
}

impl MemoryTransferService {
    /// Creates a service whose faults are drawn from `seed`.
    pub(crate) fn new(seed: u64) -> MemoryTransferService {
        MemoryTransferService(Arc::new(Mutex::new(State {
            rng: StdRng::seed_from_u64(seed),
            has_faults: false,
            by_path: HashMap::new(),
            by_request: HashMap::new(),
        })))
    }

    /// Enables or disables faults.
    pub(crate) fn set_faults(&self, has_faults: bool) {
        self.0.lock().unwrap().has_faults = has_faults;
    }

    /// Returns the number of executions by path.
    pub(crate) fn executions_by_path(&self) -> HashMap<String, u32> {
        self.0.lock().unwrap().by_path.clone()
    }

    /// Returns the number of executions by request ID.
    pub(crate) fn executions_by_request(&self) -> HashMap<String, u32> {
        self.0.lock().unwrap().by_request.clone()
    }

    fn draw(&self) -> Behavior {
        let mut state = self.0.lock().unwrap();
        if !state.has_faults {
            return Behavior::Answer;
        }
        match state.rng.random_range(0..100) {
            0..10 => Behavior::Refuse,
            10..20 => Behavior::Unreachable,
            20..25 => Behavior::BreakBefore,
            25..30 => Behavior::BreakAfter,
            30..35 => Behavior::Slow,
            _ => Behavior::Answer,
        }
    }

    fn execute(&self, req: &PlainRequest) {
        let mut state = self.0.lock().unwrap();
        *state.by_path.entry(req.path.as_ref().to_owned()).or_default() += 1;
        *state.by_request.entry(req.id.as_str().to_owned()).or_default() += 1;
    }
}

#[async_trait(?Send)]
impl PlainService for MemoryTransferService {
    async fn call(&self, req: PlainRequest) -> Result<PlainResponse, UpstreamError> {
        let broken = || UpstreamError::Broken { reason: "injected fault: broken".into() };
        let behavior = self.draw();
        sleep(Duration::from_millis(2)).await;
        match behavior {
            Behavior::Refuse => {
                return Err(UpstreamError::Refused { status: 503, retry_after_ms: None });
            }
            Behavior::Unreachable => {
                return Err(UpstreamError::Connect {
                    reason: "injected fault: unreachable".into(),
                });
            }
            Behavior::BreakBefore => return Err(broken()),
            Behavior::BreakAfter => {
                self.execute(&req);
                return Err(broken());
            }
            Behavior::Slow => {
                self.execute(&req);
                sleep(Duration::from_secs(3)).await;
            }
            Behavior::Answer => self.execute(&req),
        }
        let body = Bytes::from(format!("booked {}", req.path));
        let body = Box::pin(stream::iter([Ok(body)]));
        Ok(PlainResponse { status: 201, headers: Vec::new(), body })
    }
}
