//! Evacuates this node's streams from leaving runners.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use lycheelatch_peers::{PeerLink, Topic};
use lycheelatch_prelude::{InstanceId, NodeId, UpstreamId};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    Action, ActiveTransfer, Coordinator, EngineDirectory, ExportLimits, Instruction,
    LeavingInstances, PlanRequest, PlannedStream, Receiver, Runner, StreamHandle, Streams,
    coordinate::planner_for,
    directory::receivers_for,
    wire::{Message, decode, encode},
};

/// Time for which a receiver is not used after it failed to take over a stream.
pub(crate) const FAILED_RECEIVER_TTL: Duration = Duration::from_secs(2);

/// Interval between two plans for the same runner.
const REPLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between two plans.
const MIN_REPLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Time that the planner is given to collect the streams of all nodes before the first plan.
const COLLECT_TIME: Duration = Duration::from_millis(40);

/// Timeout of a plan request.
const PLAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Fixed time per KV cache transfer, in addition to the time for its bytes.
const TRANSFER_OVERHEAD: Duration = Duration::from_millis(10);

/// Time before the end of the notice in which no action is started.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// Time by which transfers start ahead of the plan, so that the runner's link is never idle.
const TRANSFER_LEAD: Duration = Duration::from_millis(20);

/// Maximum number of nodes assumed to share a runner's bandwidth if the planner does not respond.
const MAX_ASSUMED_SHARERS: u64 = 4;

/// Plans the evacuation of this node's streams and sends them their instructions.
pub struct Evacuation {
    leaving: LeavingInstances,
    streams: Streams,
    directory: Arc<dyn EngineDirectory>,
    link: Arc<dyn PeerLink>,
    coordinator: Arc<Coordinator>,
    planned: Mutex<HashSet<InstanceId>>,
}

impl Evacuation {
    /// Creates the evacuation for the streams in `streams`.
    pub fn new(
        leaving: LeavingInstances,
        streams: Streams,
        directory: Arc<dyn EngineDirectory>,
        link: Arc<dyn PeerLink>,
        coordinator: Arc<Coordinator>,
    ) -> Evacuation {
        Evacuation { leaving, streams, directory, link, coordinator, planned: Mutex::default() }
    }

    /// Updates the plans until the future is dropped.
    pub async fn run(&self) {
        let mut changes = self.leaving.subscribe();
        loop {
            self.plan_all().await;
            sleep(MIN_REPLAN_INTERVAL).await;
            let wait = match self.leaving_with_streams().is_empty() {
                true => Duration::from_secs(3600),
                false => REPLAN_INTERVAL,
            };
            tokio::select! {
                _ = changes.changed() => {}
                () = self.streams.replan_requested() => {}
                () = sleep(wait) => {}
            }
        }
    }

    fn leaving_with_streams(&self) -> Vec<InstanceId> {
        let mut instances = self.streams.instances();
        instances.retain(|instance| self.leaving.is_leaving(instance));
        instances.sort();
        instances
    }

    /// Updates the plan of every leaving runner that has streams of this node.
    pub async fn plan_all(&self) {
        let instances = self.leaving_with_streams();
        self.cancel_withdrawn_evacuations(&instances);
        let plans = instances.iter().map(|instance| self.plan_instance(instance));
        futures_util::future::join_all(plans).await;
    }

    /// Instructs streams to finish in place if their instance no longer leaves.
    fn cancel_withdrawn_evacuations(&self, instances: &[InstanceId]) {
        let mut planned = self.planned.lock().unwrap();
        let stays = |instance: &InstanceId| !self.leaving.is_leaving(instance);
        let staying: Vec<_> = planned.iter().filter(|instance| stays(instance)).cloned().collect();
        planned.retain(|instance| instances.contains(instance));
        drop(planned);
        for instance in &staying {
            log::info!("fleet: instance {instance} no longer leaves; its streams stay there.");
            for handle in self.streams.on_instance(instance) {
                handle.instruct(Instruction { action: Action::Finish, start: Instant::now() });
            }
        }
    }

    async fn plan_instance(&self, instance: &InstanceId) {
        let Some(deadline) = self.leaving.deadline(instance) else {
            return;
        };
        let is_first = self.planned.lock().unwrap().insert(instance.clone());
        if is_first {
            self.collect_streams(instance, deadline).await;
        }
        let handles = self.streams.on_instance(instance);
        let Some(request) = self.build_plan_request(instance, deadline, &handles) else {
            return;
        };
        let planned = match self.request_plan(&request).await {
            Some(planned) => planned,
            None => self.plan_locally(&request),
        };
        let now = Instant::now();
        let mut by_request: HashMap<_, _> =
            handles.iter().map(|handle| (handle.request().clone(), handle)).collect();
        for PlannedStream { request, action, start_in_ms } in planned {
            if let Some(handle) = by_request.remove(&request) {
                let start = now + Duration::from_millis(start_in_ms).saturating_sub(TRANSFER_LEAD);
                handle.instruct(Instruction { action, start });
            }
        }
    }

    /// Sends this node's streams to the planner and waits until the other nodes have done the same.
    async fn collect_streams(&self, instance: &InstanceId, deadline: Instant) {
        let handles = self.streams.on_instance(instance);
        if let Some(request) = self.build_plan_request(instance, deadline, &handles) {
            let _plan_unused = self.request_plan(&request).await;
            sleep(COLLECT_TIME).await;
        }
    }

    fn build_plan_request(
        &self,
        instance: &InstanceId,
        deadline: Instant,
        handles: &[Arc<StreamHandle>],
    ) -> Option<PlanRequest> {
        let (moving, waiting): (Vec<_>, Vec<_>) =
            handles.iter().partition(|handle| handle.moving_since().is_some());
        let service = handles.first()?.service();
        let runners = self.directory.runners(service);
        let runner = runners.iter().find(|runner| runner.instance == *instance);
        let bytes_per_second = runner.map_or(0, |runner| runner.export_bytes_per_second);
        let notice = deadline.saturating_duration_since(Instant::now());
        Some(PlanRequest {
            instance: instance.clone(),
            notice_ms: u64::try_from(notice.as_millis()).unwrap_or(u64::MAX),
            bytes_per_second,
            streams: waiting.iter().map(|handle| handle.running_stream()).collect(),
            transfers: moving.iter().filter_map(|handle| active_transfer(handle)).collect(),
            receivers: self.receivers(instance, &runners),
        })
    }

    fn receivers(&self, from: &InstanceId, runners: &[Runner]) -> Vec<Receiver> {
        let mut receivers = receivers_for(from, runners, &self.leaving);
        let failed = |id: &UpstreamId| self.streams.has_recently_failed(id, FAILED_RECEIVER_TTL);
        receivers.retain(|receiver| !failed(&receiver.id));
        receivers
    }

    async fn request_plan(&self, request: &PlanRequest) -> Option<Vec<PlannedStream>> {
        let members = self.link.members();
        let nodes: HashSet<&NodeId> = members.usable().map(|member| &member.id).collect();
        let planner = planner_for(&request.instance, nodes.into_iter())?;
        if planner == self.link.local() {
            return Some(handle_plan_request(&self.coordinator, planner, request.clone()));
        }
        let msg = encode(&Message::PlanRequest(request.clone()));
        let call = self.link.call(planner, Topic::Reclaim, msg, PLAN_REQUEST_TIMEOUT);
        let answer = timeout(PLAN_REQUEST_TIMEOUT, call).await.ok()?;
        match answer {
            Ok(answer) => decode(&answer).ok(),
            Err(err) => {
                log::info!(
                    "fleet: plan request to node {planner} for {} failed: {err}.",
                    request.instance
                );
                None
            }
        }
    }

    /// Plans only this node's streams, with a share of the bandwidth.
    fn plan_locally(&self, request: &PlanRequest) -> Vec<PlannedStream> {
        let nodes = self.link.members().usable_count().max(1) as u64;
        let bytes_per_second = request.bytes_per_second / nodes.min(MAX_ASSUMED_SHARERS);
        let request = PlanRequest { bytes_per_second, ..request.clone() };
        handle_plan_request(&Coordinator::default(), self.link.local(), request)
    }
}

/// Returns the stream's KV cache transfer, if one is in progress.
fn active_transfer(handle: &StreamHandle) -> Option<ActiveTransfer> {
    let elapsed = handle.moving_since()?.elapsed();
    Some(ActiveTransfer {
        request: handle.request().clone(),
        kv_bytes: handle.running_stream().kv_bytes,
        elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Plans the streams in a node's plan request.
pub(crate) fn handle_plan_request(
    coordinator: &Coordinator,
    from: &NodeId,
    request: PlanRequest,
) -> Vec<PlannedStream> {
    let limits = ExportLimits {
        bytes_per_second: request.bytes_per_second,
        transfer_overhead: TRANSFER_OVERHEAD,
        notice: Duration::from_millis(request.notice_ms),
        margin: DEADLINE_MARGIN,
        link_busy: Duration::ZERO,
    };
    coordinator.plan_for(Instant::now(), from, request, limits)
}
