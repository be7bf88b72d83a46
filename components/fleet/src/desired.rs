//! Selects the orders that bring the runners of a service to the desired state.

use lycheelatch_config::ModelSpec;
use lycheelatch_prelude::UpstreamId;
use lycheelatch_upstream::{LoadReport, LoadedModel, OrderKind, Role};

use crate::share::{WeightLoad, allocate_rates};

/// Maximum share of runners, in percent, that may replace a served model at the same time.
const MAX_CHANGING_PERCENT: usize = 25;

/// State of one runner as known to the lease holder.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerState {
    /// Identity of the runner.
    pub upstream: UpstreamId,
    /// Last load report, if the runner responded.
    pub report: Option<LoadReport>,
    /// Model that the runner was last ordered to load.
    pub ordered_model: Option<LoadedModel>,
    /// Whether the runner is assumed to be still applying its last order.
    pub is_applying_order: bool,
}

/// Cost of loading one model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadCost {
    /// Size of the weights, in bytes.
    pub bytes: u64,
    /// Rate at which the weight store serves this service, in bytes per second.
    pub store_bytes_per_second: u64,
    /// Maximum download rate of one runner, in bytes per second.
    pub runner_bytes_per_second: u64,
}

/// Returns the model that the runners of a service should serve.
pub fn desired_model(spec: &ModelSpec) -> LoadedModel {
    LoadedModel {
        model: spec.model.clone(),
        version: spec.version.clone(),
        adapter: spec.adapter.clone(),
    }
}

/// Returns the orders to send now; each contains the complete desired state.
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
    let mut changing = runners.iter().filter(|runner| runner.is_applying_order).count();
    let max_changing = (runners.len() * MAX_CHANGING_PERCENT / 100).max(1);
    let mut loading = Vec::new();
    for (runner, report) in reported {
        if !lacks(report) || runner.is_applying_order {
            continue;
        }
        let serves = !report.models.is_empty();
        if serves && changing >= max_changing {
            continue;
        }
        changing += usize::from(serves);
        loading.push((runner, report));
    }
    let load_rates = load_rates(desired, &loading, cost);
    for ((runner, _), rate) in loading.into_iter().zip(load_rates) {
        // A rate of zero means that the weight store has no bandwidth left: the runner waits.
        if rate != Some(0) {
            let models = vec![desired.clone()];
            let kind = OrderKind::Models { models, bytes_per_second: rate };
            due.push((runner.upstream.clone(), kind));
        }
    }
    due
}

fn load_rates(
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
        WeightLoad {
            upstream: runner.upstream.clone(),
            bytes_left: if is_warm { 0 } else { cost.bytes },
            is_warm,
            deficit: 0.0,
            max_bytes_per_second: cost.runner_bytes_per_second,
        }
    };
    let loads: Vec<WeightLoad> = loading.iter().map(load).collect();
    allocate_rates(cost.store_bytes_per_second, &loads).into_iter().map(Some).collect()
}
