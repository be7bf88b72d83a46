//! Refuses prompts under which engines crash, together with the other nodes.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_peers::{PeerError, PeerHandler, PeerLink, Topic};
use lycheelatch_policy::{
    BlockHash, Crash, CrashEvidence, CrashSuspects, CrashVerdict, PartId, ProcessState,
    ResponseStage,
};
use lycheelatch_prelude::{NodeId, ServiceName, UpstreamId};
use rand::seq::IteratorRandom;
use tokio::time::{Instant, sleep};

use super::engine_check::EngineAttempts;
use crate::{Refusal, RefusalReason};

/// Blocks at the start and at the end of a prompt that are reported.
const REPORTED_BLOCKS: usize = 16;

/// Time between two copies of all evidence to some other node.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of the call with all evidence.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// A request as far as crashes are concerned.
#[derive(Debug, Clone)]
pub(super) struct SentPrompt {
    pub(super) service: ServiceName,
    pub(super) upstream: UpstreamId,
    pub(super) address: SocketAddr,
    pub(super) request: Arc<str>,
    pub(super) parts: Vec<PartId>,
    pub(super) sent_at: Instant,
}

/// Evidence of crashes that this node shares with the others.
pub struct CrashWatch {
    suspects: Mutex<CrashSuspects>,
    pub(super) attempts: EngineAttempts,
    link: OnceLock<Arc<dyn PeerLink>>,
    started: Instant,
    /// Time of the start, since the Unix epoch.
    started_at: Duration,
}

impl Default for CrashWatch {
    fn default() -> CrashWatch {
        CrashWatch {
            suspects: Mutex::default(),
            attempts: EngineAttempts::default(),
            link: OnceLock::new(),
            started: Instant::now(),
            started_at: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        }
    }
}

impl CrashWatch {
    /// Exchanges evidence with the other nodes.
    pub(super) fn join_peers(self: &Arc<CrashWatch>, link: Arc<dyn PeerLink>) {
        link.register(Topic::Crashes, Arc::new(EvidenceHandler(self.clone())));
        let _already_joined = self.link.set(link);
    }

    /// Refuses a prompt under which the service's engines crash.
    pub(super) fn check(&self, service: &ServiceName, blocks: &[BlockHash]) -> Result<(), Refusal> {
        let now = self.now();
        match self.lock().verdict(service, &all_parts(blocks), self.may_try(), now) {
            CrashVerdict::Allowed | CrashVerdict::Trial => Ok(()),
            CrashVerdict::Refused { retry_after } => {
                let reason = RefusalReason::CrashesUpstreams(service.clone());
                Err(Refusal::not_run(reason).retry_after(retry_after))
            }
        }
    }

    /// Records that the response to a request was complete, which its engine outlived.
    pub(super) fn record_answer(&self, sent: &SentPrompt) {
        let now = self.now();
        let answered = self.lock().record_answer(&sent.service, &sent.parts, now);
        if !answered.is_empty() {
            self.announce(&CrashEvidence { answered, ..CrashEvidence::default() });
        }
    }

    /// Records a request that the engine cut off at `stage` and at the time `at`, unless the engine's
    /// process goes on.
    pub(super) async fn check_engine(
        self: Arc<CrashWatch>,
        sent: SentPrompt,
        stage: ResponseStage,
        at: Duration,
    ) {
        let age = at.saturating_sub(self.time_of(sent.sent_at));
        let process = self.attempts.check(&sent.upstream, sent.address).await;
        if process == ProcessState::Running {
            return;
        }
        let crash = Crash {
            service: &sent.service,
            upstream: &sent.upstream,
            request: &sent.request,
            at,
            age,
            stage,
            process,
            parts: &sent.parts,
        };
        self.record_crash(&crash);
    }

    /// Records that an engine ended, or may have ended, under a request.
    pub(super) fn record_crash(&self, crash: &Crash<'_>) {
        let report = self.lock().record_crash(crash, self.now());
        let Crash { upstream, request, process, .. } = crash;
        log::warn!("load: upstream {upstream} cut off request {request}, its process: {process:?}");
        self.announce(&CrashEvidence { reports: vec![report], ..CrashEvidence::default() });
    }

    fn announce(&self, evidence: &CrashEvidence) {
        if let Some(link) = self.link.get() {
            link.broadcast(Topic::Crashes, encode(evidence));
        }
    }

    /// Sends all evidence to some other node, which then has what it missed.
    async fn exchange(&self) {
        let Some(link) = self.link.get() else { return };
        let evidence = self.lock().evidence();
        if evidence.reports.is_empty() {
            return;
        }
        let members = link.members();
        let others = members.usable().map(|member| &member.id).filter(|id| *id != link.local());
        let Some(to) = others.choose(&mut rand::rng()).cloned() else { return };
        let called = link.call(&to, Topic::Crashes, encode(&evidence), EXCHANGE_TIMEOUT).await;
        if let Err(err) = called {
            log::debug!("load: failed to send evidence of crashes to node {to}: {err}");
        }
    }

    /// Returns whether this node is the one that tries parts again.
    fn may_try(&self) -> bool {
        let Some(link) = self.link.get() else { return true };
        let members = link.members();
        members.usable().map(|member| &member.id).min().is_none_or(|first| first == link.local())
    }

    pub(super) fn now(&self) -> Duration {
        self.time_of(Instant::now())
    }

    /// Converts a time of this process's clock to the time since the Unix epoch.
    fn time_of(&self, time: Instant) -> Duration {
        self.started_at + time.saturating_duration_since(self.started)
    }

    fn lock(&self) -> MutexGuard<'_, CrashSuspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Periodically sends all evidence to some other node.
pub async fn exchange_crash_evidence(watch: Arc<CrashWatch>) {
    loop {
        sleep(EXCHANGE_INTERVAL).await;
        watch.exchange().await;
    }
}

/// Handles evidence of other nodes.
struct EvidenceHandler(Arc<CrashWatch>);

#[async_trait(?Send)]
impl PeerHandler for EvidenceHandler {
    async fn handle(&self, _from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let evidence: CrashEvidence = postcard::from_bytes(&msg)
            .map_err(|err| PeerError::BadMessage { reason: err.to_string().into() })?;
        let now = self.0.now();
        self.0.lock().merge(evidence, now);
        Ok(Bytes::new())
    }
}

fn encode(evidence: &CrashEvidence) -> Bytes {
    postcard::to_stdvec(evidence).map(Bytes::from).expect("postcard encodes any in-memory data")
}

fn all_parts(blocks: &[BlockHash]) -> Vec<PartId> {
    blocks.iter().map(|block| PartId(block.0)).collect()
}

/// Returns the blocks of a prompt that are reported if its engine crashes.
pub(super) fn reported_parts(blocks: &[BlockHash]) -> Vec<PartId> {
    let parts = all_parts(blocks);
    if parts.len() <= 2 * REPORTED_BLOCKS {
        return parts;
    }
    [&parts[..REPORTED_BLOCKS], &parts[parts.len() - REPORTED_BLOCKS..]].concat()
}

#[cfg(test)]
mod tests;
