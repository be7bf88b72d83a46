//! Which orders bring the runners of a service to their desired state.

use lycheelatch_config::ModelSpec;
use lycheelatch_prelude::UpstreamId;
use lycheelatch_upstream::{LoadReport, LoadedModel, OrderKind, Role};

use crate::share::{Load, share_rate};

/// Most runners, in percent, that change a model that they serve at the same time.
const MAX_CHANGING_PERCENT: usize = 25;

/// One runner as its holder sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerState {
    /// Identity of the runner.
    pub upstream: UpstreamId,
    /// Its last report, if it answered.
    pub report: Option<LoadReport>,
    /// Models that it was last ordered to load.
    pub ordered: Option<LoadedModel>,
    /// Whether an order to it is believed to be still at work.
    pub is_changing: bool,
}

/// What loading one model takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadCost {
    /// Size of the weights, in bytes.
    pub bytes: u64,
    /// Rate that the weight store gives to this service, in bytes a second.
    pub store_bytes_per_second: u64,
    /// Highest rate of one runner, in bytes a second.
    pub runner_bytes_per_second: u64,
}

/// Returns the model that a service's runners are to have.
pub fn desired_model(spec: &ModelSpec) -> LoadedModel {
    LoadedModel {
        model: spec.model.clone(),
        version: spec.version.clone(),
        adapter: spec.adapter.clone(),
    }
}

/// Returns the orders to give now; each names the whole desired state.
pub fn orders_due(
    desired: &LoadedModel,
    runners: &[RunnerState],
    cost: Option<LoadCost>,
) -> Vec<(UpstreamId, OrderKind)> {
    let mut due = Vec::new();
    let reported = runners.iter().filter_map(|runner| Some((runner, runner.report.as_ref()?)));
    for (runner, report) in reported.clone() {
        if report.role != Role::default() {
            due.push((runner.upstream.clone(), OrderKind::Role { role: Role::default() }));
        }
    }
    let lacks = |report: &LoadReport| report.models != [desired.clone()];
    let mut changing = runners.iter().filter(|runner| runner.is_changing).count();
    let most = (runners.len() * MAX_CHANGING_PERCENT / 100).max(1);
    let mut loading = Vec::new();
    for (runner, report) in reported {
        if !lacks(report) || runner.is_changing {
            continue;
        }
        let serves = !report.models.is_empty();
        if serves && changing >= most {
            continue;
        }
        changing += usize::from(serves);
        loading.push((runner, report));
    }
    let rates = rates(desired, &loading, cost);
    for ((runner, _), rate) in loading.into_iter().zip(rates) {
        // A runner whose turn at the weight store has not come waits.
        if rate != Some(0) {
            let models = vec![desired.clone()];
            let kind = OrderKind::Models { models, bytes_per_second: rate };
            due.push((runner.upstream.clone(), kind));
        }
    }
    due
}

fn rates(
    desired: &LoadedModel,
    loading: &[(&RunnerState, &LoadReport)],
    cost: Option<LoadCost>,
) -> Vec<Option<u64>> {
    let Some(cost) = cost else {
        return vec![None; loading.len()];
    };
    let is_same_base = |m: &LoadedModel| m.model == desired.model && m.version == desired.version;
    let load = |(runner, report): &(&RunnerState, &LoadReport)| {
        let is_warm = report.models.iter().any(is_same_base);
        Load {
            upstream: runner.upstream.clone(),
            bytes_left: if is_warm { 0 } else { cost.bytes },
            is_warm,
            deficit: 0.0,
            max_bytes_per_second: cost.runner_bytes_per_second,
        }
    };
    let loads: Vec<Load> = loading.iter().map(load).collect();
    share_rate(cost.store_bytes_per_second, &loads).into_iter().map(Some).collect()
}
