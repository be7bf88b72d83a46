//! Tells the nodes which requests upstreams crashed on, and refuses requests that would crash more.

use std::net::SocketAddr;

use lycheelatch_policy::{Crash, CrashEvidence, CrashVerdict, PartId, ProcessState};
use lycheelatch_prelude::UpstreamId;
use tokio::time::Instant;

use crate::{
    Prompt, ServiceSpec, decision::Reason, event_log::log_event, gateway::Gateway,
    local_response::LocalResponse, messages::Datagram, node_event::NodeEvent, notices::send_notice,
    process_check::CutResponse, serve::RequestContext,
};

/// Whether an admitted request is a trial of a part that crashed upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trial {
    No,
    Yes,
}

/// Refuses a request with a part that crashes the service's upstreams.
pub(crate) fn check_request(
    gateway: &Gateway,
    service: &ServiceSpec,
    prompt: Option<&Prompt>,
) -> Result<Trial, LocalResponse> {
    let Some(prompt) = prompt else { return Ok(Trial::No) };
    let now = gateway.clock.now();
    let parts = part_ids(prompt);
    let may_try = gateway.is_leader.get();
    let verdict = gateway.crash_suspects.borrow_mut().verdict(&service.name, &parts, may_try, now);
    match verdict {
        CrashVerdict::Allowed => Ok(Trial::No),
        CrashVerdict::Trial => Ok(Trial::Yes),
        CrashVerdict::Refused { retry_after } => {
            Err(LocalResponse::with_retry_after(Reason::CrashesUpstreams, retry_after))
        }
    }
}

/// Records that the response to a request was complete, which its upstream outlived.
pub(crate) fn record_answer(cx: &RequestContext) {
    let Some(prompt) = &cx.info.prompt else { return };
    let gateway = &cx.gateway;
    let now = gateway.clock.now();
    let parts = part_ids(prompt);
    let mut suspects = gateway.crash_suspects.borrow_mut();
    let answered = suspects.record_answer(&cx.service.name, &parts, now);
    drop(suspects);
    if answered.is_empty() {
        return;
    }
    let cleared: Vec<_> = answered.iter().map(|known| format!("{:x}", known.part.0)).collect();
    log_event(&NodeEvent::PartsCleared { request: &cx.info.id, parts: &cleared });
    log_refused_parts(gateway);
    announce(gateway, CrashEvidence { answered, ..CrashEvidence::default() });
}

/// Records responses that an upstream cut off when its process ended, or may have ended.
pub(crate) fn record_crashes(
    gateway: &Gateway,
    upstream: &UpstreamId,
    cuts: &[CutResponse],
    process: ProcessState,
) {
    if process == ProcessState::Running {
        return;
    }
    let now = gateway.clock.now();
    let mut suspects = gateway.crash_suspects.borrow_mut();
    let reports = cuts.iter().map(|cut| {
        let crash = Crash {
            service: &cut.service,
            upstream,
            request: &cut.request,
            at: cut.at,
            age: cut.age,
            stage: cut.stage,
            process,
            parts: &cut.parts,
        };
        suspects.record_crash(&crash, now)
    });
    let reports = reports.collect();
    drop(suspects);
    log_refused_parts(gateway);
    announce(gateway, CrashEvidence { reports, ..CrashEvidence::default() });
}

/// Adds the evidence of another node.
pub(crate) fn handle_evidence(gateway: &Gateway, evidence: CrashEvidence) {
    let now = gateway.clock.now();
    gateway.crash_suspects.borrow_mut().merge(evidence, now);
}

/// Sends all evidence to a node whose digest shows that it has different evidence.
pub(crate) fn repair_evidence(gateway: &Gateway, to: SocketAddr, fingerprint: u64, now: Instant) {
    let suspects = gateway.crash_suspects.borrow();
    let own = suspects.fingerprint();
    if own == fingerprint || own == 0 {
        return;
    }
    if !gateway.evidence_sent.borrow_mut().try_send(to, now) {
        return;
    }
    let Some(socket) = gateway.datagrams.get() else { return };
    send_notice(socket, &Datagram::CrashEvidence(suspects.evidence()), [to].into());
}

fn announce(gateway: &Gateway, evidence: CrashEvidence) {
    let Some(socket) = gateway.datagrams.get() else { return };
    let targets = gateway.peers.borrow().all_addresses();
    send_notice(socket, &Datagram::CrashEvidence(evidence), targets);
}

/// Logs the parts that requests are refused for, if they changed.
pub(crate) fn log_refused_parts(gateway: &Gateway) {
    let mut suspects = gateway.crash_suspects.borrow_mut();
    let refused = suspects.refused_parts(gateway.clock.now()).map(|(service, parts)| {
        let parts: Vec<_> = parts.iter().map(|part| format!("{:x}", part.0)).collect();
        format!("{service}:{}", parts.join("+"))
    });
    let refused: Vec<_> = refused.collect();
    if *gateway.refused_parts.borrow() != refused {
        log_event(&NodeEvent::RefusedParts { parts: &refused });
        gateway.refused_parts.replace(refused);
    }
}

/// Returns the parts of a prompt that other requests may hold too.
pub(crate) fn part_ids(prompt: &Prompt) -> Vec<PartId> {
    prompt.shared_parts().iter().map(|part| PartId(part.id)).collect()
}
