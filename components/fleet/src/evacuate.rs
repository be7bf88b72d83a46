//! Empties the runners that leave of this node's streams.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use lycheelatch_peers::{PeerLink, Topic};
use lycheelatch_prelude::{InstanceId, NodeId, UpstreamId};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    Action, Ask, Coordinator, EngineDirectory, ExportLimits, Instruction, LeavingInstances,
    MovingStream, PlannedStream, Receiver, Runner, StreamHandle, Streams,
    coordinate::planner_of,
    directory::receivers_for,
    wire::{Message, decode, encode},
};

/// Time for which a receiver that failed gets no stream.
pub(crate) const FAILED_FOR: Duration = Duration::from_secs(2);

/// Time between two plans for the same runner.
const REPLAN_EVERY: Duration = Duration::from_millis(250);

/// Shortest time between two plans.
const REPLAN_AT_MOST_EVERY: Duration = Duration::from_millis(20);

/// Time for which the planning node gathers the nodes' streams at first.
const GATHER: Duration = Duration::from_millis(40);

/// Longest wait for the planning node.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Time that each transfer takes besides its bytes.
const PER_TRANSFER: Duration = Duration::from_millis(10);

/// Time before the end of the notice in which nothing is begun.
const MARGIN: Duration = Duration::from_millis(100);

/// Time by which a transfer begins early, so that the runner's link is never idle.
const START_EARLY: Duration = Duration::from_millis(20);

/// Nodes that are taken to share a runner's bandwidth while the planning node is silent.
const ASSUMED_SHARERS: u64 = 4;

/// Tells the streams on leaving runners what to do.
pub struct Evacuation {
    leaving: LeavingInstances,
    streams: Streams,
    directory: Arc<dyn EngineDirectory>,
    link: Arc<dyn PeerLink>,
    coordinator: Arc<Coordinator>,
    planned: Mutex<HashSet<InstanceId>>,
}

impl Evacuation {
    /// Creates the evacuation of this node's streams.
    pub fn new(
        leaving: LeavingInstances,
        streams: Streams,
        directory: Arc<dyn EngineDirectory>,
        link: Arc<dyn PeerLink>,
        coordinator: Arc<Coordinator>,
    ) -> Evacuation {
        Evacuation { leaving, streams, directory, link, coordinator, planned: Mutex::default() }
    }

    /// Plans again and again for as long as it is polled.
    pub async fn run(&self) {
        let mut changes = self.leaving.subscribe();
        loop {
            self.plan_all().await;
            sleep(REPLAN_AT_MOST_EVERY).await;
            let wait = match self.leaving_with_streams().is_empty() {
                true => Duration::from_secs(3600),
                false => REPLAN_EVERY,
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

    /// Plans once for every leaving runner that has streams of this node.
    pub async fn plan_all(&self) {
        let instances = self.leaving_with_streams();
        self.call_off_withdrawn(&instances);
        let plans = instances.iter().map(|instance| self.plan_one(instance));
        futures_util::future::join_all(plans).await;
    }

    /// Lets the streams stay where an earlier notice was withdrawn.
    fn call_off_withdrawn(&self, instances: &[InstanceId]) {
        let mut planned = self.planned.lock().unwrap();
        let stays = |instance: &InstanceId| !self.leaving.is_leaving(instance);
        let staying: Vec<_> = planned.iter().filter(|instance| stays(instance)).cloned().collect();
        planned.retain(|instance| instances.contains(instance));
        drop(planned);
        for instance in &staying {
            log::info!("fleet: instance {instance} stays; its streams go on there.");
            for handle in self.streams.on(instance) {
                handle.instruct(Instruction { action: Action::Finish, start: Instant::now() });
            }
        }
    }

    async fn plan_one(&self, instance: &InstanceId) {
        let Some(deadline) = self.leaving.deadline(instance) else {
            return;
        };
        let is_first = self.planned.lock().unwrap().insert(instance.clone());
        if is_first {
            self.gather(instance, deadline).await;
        }
        let handles = self.streams.on(instance);
        let Some(ask) = self.ask(instance, deadline, &handles) else {
            return;
        };
        let planned = match self.ask_planner(&ask).await {
            Some(planned) => planned,
            None => self.plan_alone(&ask),
        };
        let now = Instant::now();
        let mut by_request: HashMap<_, _> =
            handles.iter().map(|handle| (handle.request().clone(), handle)).collect();
        for PlannedStream { request, action, start_in_ms } in planned {
            if let Some(handle) = by_request.remove(&request) {
                let start = now + Duration::from_millis(start_in_ms).saturating_sub(START_EARLY);
                handle.instruct(Instruction { action, start });
            }
        }
    }

    /// Makes this node's streams known and waits for the other nodes to do the same.
    async fn gather(&self, instance: &InstanceId, deadline: Instant) {
        let handles = self.streams.on(instance);
        if let Some(ask) = self.ask(instance, deadline, &handles) {
            let _only_noted = self.ask_planner(&ask).await;
            sleep(GATHER).await;
        }
    }

    fn ask(
        &self,
        instance: &InstanceId,
        deadline: Instant,
        handles: &[Arc<StreamHandle>],
    ) -> Option<Ask> {
        let (moving, waiting): (Vec<_>, Vec<_>) =
            handles.iter().partition(|handle| handle.moving_since().is_some());
        let service = handles.first()?.service();
        let runners = self.directory.runners(service);
        let runner = runners.iter().find(|runner| runner.instance == *instance);
        let bytes_per_second = runner.map_or(0, |runner| runner.export_bytes_per_second);
        let notice = deadline.saturating_duration_since(Instant::now());
        Some(Ask {
            instance: instance.clone(),
            notice_ms: u64::try_from(notice.as_millis()).unwrap_or(u64::MAX),
            bytes_per_second,
            streams: waiting.iter().map(|handle| handle.running()).collect(),
            moving: moving.iter().filter_map(|handle| moving_stream(handle)).collect(),
            receivers: self.receivers(instance, &runners),
        })
    }

    fn receivers(&self, from: &InstanceId, runners: &[Runner]) -> Vec<Receiver> {
        let mut receivers = receivers_for(from, runners, &self.leaving);
        let failed = |id: &UpstreamId| self.streams.has_failed(id, FAILED_FOR);
        receivers.retain(|receiver| !failed(&receiver.id));
        receivers
    }

    async fn ask_planner(&self, ask: &Ask) -> Option<Vec<PlannedStream>> {
        let members = self.link.members();
        let nodes: HashSet<&NodeId> = members.usable().map(|member| &member.id).collect();
        let planner = planner_of(&ask.instance, nodes.into_iter())?;
        if planner == self.link.local() {
            return Some(answer_ask(&self.coordinator, planner, ask.clone()));
        }
        let msg = encode(&Message::Ask(ask.clone()));
        let call = self.link.call(planner, Topic::Reclaim, msg, ASK_TIMEOUT);
        let answer = timeout(ASK_TIMEOUT, call).await.ok()?;
        match answer {
            Ok(answer) => decode(&answer).ok(),
            Err(err) => {
                log::info!("fleet: node {planner} does not plan for {}: {err}.", ask.instance);
                None
            }
        }
    }

    /// Plans without the other nodes, with a share of the bandwidth.
    fn plan_alone(&self, ask: &Ask) -> Vec<PlannedStream> {
        let nodes = self.link.members().usable_count().max(1) as u64;
        let bytes_per_second = ask.bytes_per_second / nodes.min(ASSUMED_SHARERS);
        let ask = Ask { bytes_per_second, ..ask.clone() };
        answer_ask(&Coordinator::default(), self.link.local(), ask)
    }
}

/// Returns the export of a stream that is under way.
fn moving_stream(handle: &StreamHandle) -> Option<MovingStream> {
    let elapsed = handle.moving_since()?.elapsed();
    Some(MovingStream {
        request: handle.request().clone(),
        kv_bytes: handle.running().kv_bytes,
        elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Plans for the streams of an asking node.
pub(crate) fn answer_ask(coordinator: &Coordinator, from: &NodeId, ask: Ask) -> Vec<PlannedStream> {
    let limits = ExportLimits {
        bytes_per_second: ask.bytes_per_second,
        per_transfer: PER_TRANSFER,
        notice: Duration::from_millis(ask.notice_ms),
        margin: MARGIN,
        busy: Duration::ZERO,
    };
    coordinator.answer(Instant::now(), from, ask, limits)
}
