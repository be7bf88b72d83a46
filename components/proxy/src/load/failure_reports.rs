//! Tells and asks the homes of failed requests.
//!
//! A caller's retry comes to any node. The home of a request's fingerprint is
//! told of its failure, and asked before a request without a fingerprint is admitted.

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
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Most failures in one round of notices.
const MAX_REPORTED: usize = 256;

/// A message to the home of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum FailureMessage {
    /// These failed or were refused.
    Failed(Vec<Fingerprint>),
    /// Did this one fail? The answer is one byte: 1 for yes.
    Query(Fingerprint),
}

impl FailureMessage {
    fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).map(Bytes::from).unwrap_or_default()
    }
}

/// Answers other nodes about the requests that this node is the home of.
struct FailureHandler(Arc<LoadControl>);

#[async_trait(?Send)]
impl PeerHandler for FailureHandler {
    async fn handle(&self, _from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let wire: FailureMessage = postcard::from_bytes(&msg)
            .map_err(|err| PeerError::BadMessage { reason: err.to_string().into() })?;
        let now = Instant::now();
        let mut state = self.0.lock();
        let detector = state.admission.retry_detector_mut();
        match wire {
            FailureMessage::Failed(fingerprints) => {
                detector.merge(now, &fingerprints);
                Ok(Bytes::new())
            }
            FailureMessage::Query(fingerprint) => {
                let failed = detector.is_retry(now, Attempt::FIRST, Some(fingerprint));
                Ok(Bytes::copy_from_slice(&[u8::from(failed)]))
            }
        }
    }
}

impl LoadControl {
    /// Joins the other nodes, to know the retries of requests that failed there.
    pub fn join_peers(self: &Arc<LoadControl>, link: Arc<dyn PeerLink>) {
        link.register(Topic::Load, Arc::new(FailureHandler(self.clone())));
        let is_first = self.link.set(link).is_ok();
        debug_assert!(is_first, "peers are joined once");
    }

    /// Returns whether the home of a request without a fingerprint knows that it failed.
    pub(super) async fn is_known_failure(&self, req: &AdmissionRequest) -> bool {
        let (Some(link), Some(fingerprint)) = (self.link.get(), req.fingerprint) else {
            return false;
        };
        let is_active = self.lock().admission.retry_detector_mut().has_failures(Instant::now());
        if !is_active || !req.attempt.is_fresh() {
            return false;
        }
        let nodes = nodes(link.as_ref());
        let Some(home) = fingerprint_home(fingerprint, &nodes).filter(|home| *home != link.local())
        else {
            return false;
        };
        let msg = FailureMessage::Query(fingerprint).encode();
        match link.call(home, Topic::Load, msg, HOME_TIMEOUT).await {
            Ok(answer) => answer.first() == Some(&1),
            Err(err) => {
                log::debug!("load: {home} does not tell of failed requests: {err}");
                false
            }
        }
    }

    /// Tells the homes of failed requests, and waits until they know.
    pub async fn report_failures(&self) {
        let Some(link) = self.link.get() else { return };
        let fingerprints = self.lock().admission.retry_detector_mut().take_unsent(MAX_REPORTED);
        if fingerprints.is_empty() {
            return;
        }
        let nodes = nodes(link.as_ref());
        let mut by_home: HashMap<&NodeId, Vec<Fingerprint>> = HashMap::new();
        for fingerprint in fingerprints {
            if let Some(home) =
                fingerprint_home(fingerprint, &nodes).filter(|home| *home != link.local())
            {
                by_home.entry(home).or_default().push(fingerprint);
            }
        }
        let calls = by_home.into_iter().map(|(home, fingerprints)| async move {
            let msg = FailureMessage::Failed(fingerprints).encode();
            if let Err(err) = link.call(home, Topic::Load, msg, HOME_TIMEOUT).await {
                log::debug!("load: {home} is not told of failed requests: {err}");
            }
        });
        join_all(calls).await;
    }
}

/// Tells the homes of failed requests again and again, and counts the nodes.
pub async fn report_failures(control: Arc<LoadControl>) {
    loop {
        control.report_failures().await;
        if let Some(link) = control.link.get() {
            control.set_nodes(link.members().usable_count());
        }
        sleep(REPORT_INTERVAL).await;
    }
}

fn nodes(link: &dyn PeerLink) -> Vec<NodeId> {
    link.members().usable().map(|member| member.id.clone()).collect()
}
