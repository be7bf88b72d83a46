//! Detection of retries across nodes.
//!
//! A caller's retry may arrive at any node. Each request fingerprint has a home node, to which
//! other nodes report the failure of the request. They query it before they admit a request that
//! does not declare itself a retry.

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

/// Timeout of a call to a home node; without a reply, a request does not count as a retry.
const HOME_TIMEOUT: Duration = Duration::from_millis(30);

/// Interval between reports of failures in the background.
///
/// Refusals by admission are reported immediately, before the response.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of failures in one round of reports.
const MAX_REPORTED: usize = 256;

/// A message to the home node of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum FailureMessage {
    /// Reports requests that failed or were refused.
    Failed(Vec<Fingerprint>),
    /// Queries whether a request failed. The reply is one byte: 1 if it did, 0 otherwise.
    Query(Fingerprint),
}

impl FailureMessage {
    fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).map(Bytes::from).unwrap_or_default()
    }
}

/// Handles reports and queries about requests whose home node is this node.
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
    /// Connects this node to its peers, to detect retries of requests that failed there.
    pub fn join_peers(self: &Arc<LoadControl>, link: Arc<dyn PeerLink>) {
        link.register(Topic::Load, Arc::new(FailureHandler(self.clone())));
        self.crashes.join_peers(link.clone());
        let is_first = self.link.set(link).is_ok();
        debug_assert!(is_first, "peers are joined more than once");
    }

    /// Returns whether the home node has recorded a failure of the request.
    ///
    /// Returns false without a query if this node stores no recent failure, if the request declares
    /// itself a retry, or if this node is the home node.
    pub(super) async fn is_known_failure(&self, req: &AdmissionRequest) -> bool {
        let (Some(link), Some(fingerprint)) = (self.link.get(), req.fingerprint) else {
            return false;
        };
        let has_failures = self.lock().admission.retry_detector_mut().has_failures(Instant::now());
        if !has_failures || !req.attempt.is_fresh() {
            return false;
        }
        let nodes = nodes(link.as_ref());
        let Some(home) = fingerprint_home(fingerprint, &nodes).filter(|home| *home != link.local())
        else {
            return false;
        };
        let msg = FailureMessage::Query(fingerprint).encode();
        match link.call(home, Topic::Load, msg, HOME_TIMEOUT).await {
            Ok(response) => response.first() == Some(&1),
            Err(err) => {
                log::debug!("load: query for a failed request at home node {home} failed: {err}");
                false
            }
        }
    }

    /// Reports failed requests to their home nodes and waits for the replies.
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
                log::debug!("load: report of failed requests to home node {home} failed: {err}");
            }
        });
        join_all(calls).await;
    }
}

/// Periodically reports failed requests to their home nodes and updates the number of nodes.
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
