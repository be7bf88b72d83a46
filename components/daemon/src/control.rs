//! Node status and control for the operators' API.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use lycheelatch_config::CurrentConfig;
use lycheelatch_operator::{
    ControlError, DrainResponse, DrainTarget, MemberStatus, NodeControl, NodeStatus, Readiness,
    RouteExplanation, RouteQuery, UpstreamStatus,
};
use lycheelatch_peers::{MemberState, PeerLink};
use lycheelatch_prelude::{NodeId, RegionName, ZoneName};
use lycheelatch_provider::{KeyValue, KvKey};
use lycheelatch_proxy::{LoadControl, Proxy, Upstream};
use tokio::{sync::Notify, time::timeout};

use crate::{Health, route};

/// Timeout of the probe of the key-value service.
const KV_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Key that the probe of the key-value service reads.
const KV_PROBE_KEY: &str = "lycheelatch/probe";

/// Status and control of one node.
pub(crate) struct Control {
    pub(crate) id: NodeId,
    pub(crate) zone: ZoneName,
    pub(crate) region: RegionName,
    pub(crate) health: Arc<Health>,
    pub(crate) current: Arc<CurrentConfig>,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) load: Arc<LoadControl>,
    pub(crate) link: Option<Arc<dyn PeerLink>>,
    pub(crate) kv: Arc<dyn KeyValue>,
    /// Notified when an operator requests the shutdown of the node.
    pub(crate) stop_requested: Arc<Notify>,
}

impl Control {
    fn in_flight(&self) -> u64 {
        u64::try_from(self.proxy.open_requests()).unwrap_or(0)
    }

    async fn key_value_up(&self) -> bool {
        let probe = KvKey::new(KV_PROBE_KEY);
        matches!(timeout(KV_PROBE_TIMEOUT, self.kv.get(&probe)).await, Ok(Ok(_)))
    }

    fn members(&self) -> Vec<MemberStatus> {
        let Some(link) = &self.link else { return Vec::new() };
        let to_status = |member: &lycheelatch_peers::Member| MemberStatus {
            node: member.id.clone(),
            zone: member.zone.clone(),
            state: member_state(member.state).to_owned(),
            addr: member.addr.to_string(),
        };
        link.members().0.values().map(to_status).collect()
    }

    fn upstream_state(&self, upstream: &Upstream) -> &'static str {
        if self.proxy.registry().is_leaving(upstream) { "leaving" } else { "live" }
    }

    fn upstream_status(&self, upstream: &Upstream) -> UpstreamStatus {
        UpstreamStatus {
            upstream: upstream.id().clone(),
            service: upstream.listed.service.clone(),
            zone: upstream.listed.zone.clone(),
            state: self.upstream_state(upstream).to_owned(),
            in_flight: u64::from(upstream.in_flight()),
        }
    }
}

fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

pub(crate) fn not_found(kind: &'static str, name: &str) -> ControlError {
    ControlError::NotFound { kind, name: name.to_owned() }
}

#[async_trait(?Send)]
impl NodeControl for Control {
    async fn status(&self) -> NodeStatus {
        let upstreams = self.proxy.registry().all();
        NodeStatus {
            node: self.id.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            readiness: self.readiness(),
            revision: self.current.revision(),
            key_value_up: self.key_value_up().await,
            in_flight: self.in_flight(),
            members: self.members(),
            upstreams: upstreams.iter().map(|u| self.upstream_status(u)).collect(),
        }
    }

    async fn route(&self, query: &RouteQuery) -> Result<RouteExplanation, ControlError> {
        route::explain(&self.load, &self.current.get(), query)
    }

    async fn drain(&self, target: &DrainTarget) -> Result<DrainResponse, ControlError> {
        match target {
            DrainTarget::Node => {
                self.health.set_stopping();
                self.stop_requested.notify_one();
                Ok(DrainResponse { in_flight: self.in_flight() })
            }
            DrainTarget::Upstream(id) => {
                let registry = self.proxy.registry();
                let upstream = registry.all().into_iter().find(|upstream| upstream.id() == id);
                let upstream = upstream.ok_or_else(|| not_found("upstream", id.as_str()))?;
                registry.drain(id.clone());
                Ok(DrainResponse { in_flight: u64::from(upstream.in_flight()) })
            }
        }
    }

    fn readiness(&self) -> Readiness {
        match self.health.reason_not_ready() {
            None => Readiness::Ready,
            Some(reason) => Readiness::NotReady(reason.to_owned()),
        }
    }
}
