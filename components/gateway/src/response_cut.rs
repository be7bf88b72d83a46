//! Responses whose connection an upstream closed before their end.

use std::rc::Rc;

use lycheelatch_policy::{ProcessSigns, ResponseStage};
use lycheelatch_prelude::UpstreamId;
use tokio::time::Instant;

use crate::{
    crash_evidence::{part_ids, record_crashes},
    decision::{Decision, ResponseCut},
    directory::Upstream,
    event_log::log_event,
    gateway::Gateway,
    node_event::NodeEvent,
    process_check::{CrashSink, CutResponse, check_process},
    serve::RequestContext,
};

/// Records that an upstream closed the connection of a response, and has it checked whether its
/// process ended, unless it was about to leave.
pub(crate) fn record_cut(
    cx: &RequestContext,
    upstream: &Rc<Upstream>,
    stage: ResponseStage,
    sent_at: Instant,
) {
    let parts = cx.info.prompt.as_ref().map(part_ids).unwrap_or_default();
    cx.gateway.metrics.cut_responses.with_label_values(&[stage_label(stage)]).inc();
    cx.gateway.decisions.write(&Decision::ResponseCut(ResponseCut {
        request: &cx.info.id,
        upstream: &upstream.id(),
        stage,
        parts: parts.iter().map(|part| format!("{:x}", part.0)).collect(),
    }));
    upstream.cuts.record_end(Instant::now());
    if parts.is_empty() || !upstream.accepts_requests() {
        return;
    }
    let cut = CutResponse {
        service: cx.service.name.clone(),
        request: cx.info.id.clone(),
        parts,
        stage,
        age: sent_at.elapsed(),
        at: cx.gateway.clock.now(),
    };
    if upstream.cuts.add(cut) {
        let sink = Rc::new(EvidenceSink { gateway: cx.gateway.clone(), upstream: upstream.id() });
        actix_rt::spawn(check_process(upstream.clone(), sink));
    }
}

fn stage_label(stage: ResponseStage) -> &'static str {
    match stage {
        ResponseStage::Waiting => "waiting",
        ResponseStage::Begun => "begun",
        ResponseStage::Streaming => "streaming",
    }
}

/// Makes what checks of an upstream find out evidence of crashes.
struct EvidenceSink {
    gateway: Rc<Gateway>,
    upstream: UpstreamId,
}

impl CrashSink for EvidenceSink {
    fn record(&self, cuts: &[CutResponse], signs: ProcessSigns) {
        let Some(first) = cuts.first() else { return };
        log_event(&NodeEvent::UpstreamChecked {
            upstream: &self.upstream,
            request: &first.request,
            responses: cuts.len(),
            is_listening: !signs.is_refusing,
            open_connections: signs.open_connections,
            ended_connections: signs.ended_connections,
            is_replaced: signs.is_replaced,
            process: signs.process_state(),
        });
        record_crashes(&self.gateway, &self.upstream, cuts, signs.process_state());
    }
}
