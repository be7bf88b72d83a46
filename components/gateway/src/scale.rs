//! Scales services by ordering upstreams from the platform.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use lycheelatch_prelude::{ServiceName, ZoneName};
use tokio::time::{Instant, sleep};

use crate::{
    CapacityOrder, Gateway, Leadership, PlatformApi, PlatformApiError, PurchaseOption, ServiceSpec,
    demand::{DemandForecast, EngineState, keep_running},
    event_log::log_event,
    node_event::NodeEvent,
    platform_api::call_while_valid,
    size::{ZoneCapacity, ZoneTarget, plan},
    table::ScalingSpec,
};

/// Time between two scaling rounds.
const INTERVAL: Duration = Duration::from_millis(400);

/// Time between two orders to a zone where no reclaimable upstreams were available.
const PROBE_INTERVAL: Duration = Duration::from_millis(1500);

/// Time after which an order that has not been fulfilled is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(7);

/// Maximum number of orders for a service in one round, besides those by `probe_exhausted_zone`.
const MAX_CALLS_PER_ROUND: u32 = 8;

/// The last order for a zone and purchase option.
#[derive(Debug, Clone, Copy)]
struct SentOrder {
    count: u32,
    at: Instant,
}

type OrderKey = (ServiceName, ZoneName, PurchaseOption);

/// Orders that were sent, and zones where no reclaimable upstreams were available.
#[derive(Default)]
struct OrderState {
    sent: HashMap<OrderKey, SentOrder>,
    exhausted: BTreeSet<(ServiceName, ZoneName)>,
    probed: HashMap<(ServiceName, ZoneName), Instant>,
    /// Start of this node's leadership.
    leader_since: Option<Instant>,
    forecast: DemandForecast,
}

/// Orders upstreams while this node is the leader, until the task is dropped.
pub(crate) async fn run(gateway: Rc<Gateway>, leader: Rc<Leadership>, api: Rc<dyn PlatformApi>) {
    let mut state = OrderState::default();
    loop {
        sleep(INTERVAL).await;
        state.forecast.observe(&gateway, Instant::now());
        let Some(table) = gateway.table() else { continue };
        for service in table.services().filter(|service| service.scaling.is_some()) {
            let count = u32::try_from(gateway.directory.available(&service.name).len());
            state.forecast.observe_upstreams(
                &service.name,
                count.unwrap_or(u32::MAX),
                Instant::now(),
            );
        }
        if leader.fence().is_none() {
            state.sent.clear();
            state.leader_since = None;
            continue;
        }
        state.leader_since.get_or_insert(Instant::now());
        for service in table.services() {
            // The platform starts the upstreams of the new version by itself.
            if gateway.rollouts.borrow().is_running(&service.name) {
                continue;
            }
            if let Some(spec) = &service.scaling {
                scale_service(&gateway, &leader, &*api, service, spec, &mut state).await;
            }
        }
    }
}

async fn scale_service(
    gateway: &Gateway,
    leader: &Rc<Leadership>,
    api: &dyn PlatformApi,
    service: &ServiceSpec,
    spec: &ScalingSpec,
    state: &mut OrderState,
) {
    let now = Instant::now();
    let capacity = current_capacity(gateway, service, spec, state);
    let engines = engine_state(gateway, service);
    let Some(need) = state.forecast.need(service, spec, engines, now) else { return };
    let mut targets = plan(spec, need, &capacity);
    if need.is_busy {
        let led_for = state.leader_since.map_or(Duration::ZERO, |since| now - since);
        keep_running(spec, led_for, &capacity, &mut targets);
    }
    let mut calls_left = MAX_CALLS_PER_ROUND;
    for (target, zone) in targets.iter().zip(&capacity) {
        if zone.is_reclaimable_exhausted {
            probe_exhausted_zone(leader, api, service, target, zone, state).await;
        }
        for purchase in [PurchaseOption::Reclaimable, PurchaseOption::OnDemand] {
            if calls_left > 0 && should_order(service, target, zone, purchase, state, now) {
                calls_left -= 1;
                send_order(leader, api, service, target, purchase, state).await;
            }
        }
    }
}

fn engine_state(gateway: &Gateway, service: &ServiceSpec) -> EngineState {
    let upstreams = gateway.directory.for_service(&service.name);
    let in_flight = upstreams.iter().map(|up| up.running.get() + up.running_elsewhere.get()).sum();
    EngineState { in_flight, speed: gateway.engine_speed(&service.name) }
}

fn current_capacity(
    gateway: &Gateway,
    service: &ServiceSpec,
    spec: &ScalingSpec,
    state: &OrderState,
) -> Vec<ZoneCapacity> {
    let rollouts = gateway.rollouts.borrow();
    let mut upstreams = gateway.directory.available(&service.name);
    upstreams.retain(|up| rollouts.leaves_in_use(&service.name, up));
    let count = |zone: &ZoneName, is_reclaimable: bool| {
        let matches = |up: &&Rc<crate::Upstream>| {
            let entry = up.entry.borrow();
            entry.zone == *zone && entry.is_reclaimable == is_reclaimable
        };
        u32::try_from(upstreams.iter().filter(matches).count()).unwrap_or(u32::MAX)
    };
    spec.zone_prices
        .keys()
        .map(|zone| {
            let zone_key = (service.name.clone(), zone.clone());
            ZoneCapacity {
                zone: zone.clone(),
                on_demand: count(zone, false),
                reclaimable: count(zone, true),
                is_reclaimable_exhausted: state.exhausted.contains(&zone_key),
            }
        })
        .collect()
}

fn should_order(
    service: &ServiceSpec,
    target: &ZoneTarget,
    zone: &ZoneCapacity,
    purchase: PurchaseOption,
    state: &OrderState,
    now: Instant,
) -> bool {
    if zone.is_reclaimable_exhausted && purchase == PurchaseOption::Reclaimable {
        return false;
    }
    let desired = target.count(purchase);
    let actual = match purchase {
        PurchaseOption::OnDemand => zone.on_demand,
        PurchaseOption::Reclaimable => zone.reclaimable,
    };
    let order_key = (service.name.clone(), target.zone.clone(), purchase);
    match state.sent.get(&order_key) {
        None => desired != actual,
        Some(sent) if sent.count != desired => true,
        Some(sent) => actual != desired && now - sent.at > RESEND_AFTER,
    }
}

/// Periodically orders one more reclaimable upstream in a zone where none was available.
async fn probe_exhausted_zone(
    leader: &Rc<Leadership>,
    api: &dyn PlatformApi,
    service: &ServiceSpec,
    target: &ZoneTarget,
    zone: &ZoneCapacity,
    state: &mut OrderState,
) {
    let now = Instant::now();
    let zone_key = (service.name.clone(), zone.zone.clone());
    let is_due = state.probed.get(&zone_key).is_none_or(|at| now - *at > PROBE_INTERVAL);
    if !is_due {
        return;
    }
    state.probed.insert(zone_key.clone(), now);
    let one_more = ZoneTarget { reclaimable: zone.reclaimable + 1, ..target.clone() };
    send_order(leader, api, service, &one_more, PurchaseOption::Reclaimable, state).await;
}

async fn send_order(
    leader: &Rc<Leadership>,
    api: &dyn PlatformApi,
    service: &ServiceSpec,
    target: &ZoneTarget,
    purchase: PurchaseOption,
    state: &mut OrderState,
) {
    let Some(permit) = leader.permit() else { return };
    let count = target.count(purchase);
    let order =
        CapacityOrder { service: service.name.clone(), zone: target.zone.clone(), purchase, count };
    let result = call_while_valid(&*permit, api.order_capacity(permit.clone(), &order)).await;
    let now = Instant::now();
    let order_key = (service.name.clone(), target.zone.clone(), purchase);
    let log_refusal = |err: &PlatformApiError| {
        log_event(&NodeEvent::OrderRefused {
            service: &service.name,
            zone: &target.zone,
            purchase,
            count,
            reason: &err.to_string(),
        });
    };
    match result {
        Ok(()) => {
            log_event(&NodeEvent::UpstreamsOrdered {
                service: &service.name,
                zone: &target.zone,
                purchase,
                count,
            });
            if purchase == PurchaseOption::Reclaimable {
                state.exhausted.remove(&(service.name.clone(), target.zone.clone()));
            }
            state.sent.insert(order_key, SentOrder { count, at: now });
        }
        Err(PlatformApiError::NoneAvailable) => {
            log_refusal(&PlatformApiError::NoneAvailable);
            state.sent.remove(&order_key);
            if purchase == PurchaseOption::Reclaimable {
                let zone_key = (service.name.clone(), target.zone.clone());
                state.probed.insert(zone_key.clone(), now);
                state.exhausted.insert(zone_key);
            }
        }
        Err(err) => {
            log_refusal(&err);
            state.sent.insert(order_key, SentOrder { count, at: now });
        }
    }
}
