//! Tells and asks the homes of failed requests.
//!
//! A caller's retry comes to any node. The home of a request's fingerprint is
//! told of its failure, and asked before a request without a mark is admitted.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::future::join_all;
use lycheelatch_peers::{PeerError, PeerHandler, PeerLink, Topic};
use lycheelatch_policy::{AdmissionRequest, Fingerprint, fingerprint_home};
use lycheelatch_prelude::{Attempt, NodeId};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use super::LoadControl;

/// Longest wait for a home; a request is fresh when its home does not answer.
const HOME_TIMEOUT: Duration = Duration::from_millis(30);

/// Time between notices of failures that no refusal waits for.
const TELL_INTERVAL: Duration = Duration::from_millis(20);

/// Most failures in one round of notices.
const MAX_TOLD: usize = 256;

/// A message to the home of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum SenseWire {
    /// These failed or were refused.
    Failed(Vec<Fingerprint>),
    /// Did this one fail? The answer is one byte: 1 for yes.
    Ask(Fingerprint),
}

impl SenseWire {
    fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).map(Bytes::from).unwrap_or_default()
    }
}

/// Answers other nodes about the requests that this node is the home of.
struct SenseHandler(Arc<LoadControl>);

#[async_trait(?Send)]
impl PeerHandler for SenseHandler {
    async fn handle(&self, _from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let wire: SenseWire = postcard::from_bytes(&msg)
            .map_err(|err| PeerError::BadMessage { reason: err.to_string().into() })?;
        let now = Instant::now();
        let mut state = self.0.lock();
        let sense = state.admission.retry_detector_mut();
        match wire {
            SenseWire::Failed(marks) => {
                sense.merge(now, &marks);
                Ok(Bytes::new())
            }
            SenseWire::Ask(mark) => {
                let failed = sense.is_retry(now, Attempt::FIRST, Some(mark));
                Ok(Bytes::copy_from_slice(&[u8::from(failed)]))
            }
        }
    }
}

impl LoadControl {
    /// Joins the other nodes, to know the retries of requests that failed there.
    pub fn join_peers(self: &Arc<LoadControl>, link: Arc<dyn PeerLink>) {
        link.register(Topic::Load, Arc::new(SenseHandler(self.clone())));
        let is_first = self.link.set(link).is_ok();
        debug_assert!(is_first, "peers are joined once");
    }

    /// Returns whether the home of a request without a mark knows that it failed.
    pub(super) async fn failed_before(&self, ask: &AdmissionRequest) -> bool {
        let (Some(link), Some(mark)) = (self.link.get(), ask.fingerprint) else { return false };
        let is_active = self.lock().admission.retry_detector_mut().has_failures(Instant::now());
        if !is_active || !ask.attempt.is_fresh() {
            return false;
        }
        let nodes = nodes(link.as_ref());
        let Some(home) = fingerprint_home(mark, &nodes).filter(|home| *home != link.local()) else {
            return false;
        };
        let msg = SenseWire::Ask(mark).encode();
        match link.call(home, Topic::Load, msg, HOME_TIMEOUT).await {
            Ok(answer) => answer.first() == Some(&1),
            Err(err) => {
                log::debug!("load: {home} does not tell of failed requests: {err}");
                false
            }
        }
    }

    /// Tells the homes of failed requests, and waits until they know.
    pub async fn tell_homes(&self) {
        let Some(link) = self.link.get() else { return };
        let marks = self.lock().admission.retry_detector_mut().take_unsent(MAX_TOLD);
        if marks.is_empty() {
            return;
        }
        let nodes = nodes(link.as_ref());
        let mut by_home: HashMap<&NodeId, Vec<Fingerprint>> = HashMap::new();
        for mark in marks {
            if let Some(home) = fingerprint_home(mark, &nodes).filter(|home| *home != link.local())
            {
                by_home.entry(home).or_default().push(mark);
            }
        }
        let calls = by_home.into_iter().map(|(home, marks)| async move {
            let msg = SenseWire::Failed(marks).encode();
            if let Err(err) = link.call(home, Topic::Load, msg, HOME_TIMEOUT).await {
                log::debug!("load: {home} is not told of failed requests: {err}");
            }
        });
        join_all(calls).await;
    }
}

/// Tells the homes of failed requests again and again, and counts the nodes.
pub async fn tell_homes(control: Arc<LoadControl>) {
    loop {
        control.tell_homes().await;
        if let Some(link) = control.link.get() {
            control.set_nodes(link.members().usable_count());
        }
        sleep(TELL_INTERVAL).await;
    }
}

fn nodes(link: &dyn PeerLink) -> Vec<NodeId> {
    link.members().usable().map(|member| member.id.clone()).collect()
}
