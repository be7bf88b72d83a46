//! Orders the upstreams that services need.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use lycheelatch_prelude::{ServiceName, ZoneName};
use tokio::time::{Instant, sleep};

use crate::{
    CapacityOrder, Gateway, Leadership, PlatformApi, PlatformApiError, PurchaseOption, ServiceSpec,
    decision::{Belief, note},
    demand::DemandForecast,
    size::{ZoneCapacity, ZoneTarget, plan},
    table::ScalingSpec,
};

/// Pause between two plans.
const INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a zone without reclaimable upstreams is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(1500);

/// Time after which an order whose upstreams did not come is sent again.
const REPEAT_AFTER: Duration = Duration::from_secs(7);

/// Calls of one round.
const MAX_CALLS: u32 = 8;

/// One order as it was sent last.
#[derive(Debug, Clone, Copy)]
struct Sent {
    count: u32,
    at: Instant,
}

type Subject = (ServiceName, ZoneName, PurchaseOption);

/// What was ordered, and where none were to be had.
#[derive(Default)]
struct Orders {
    sent: HashMap<Subject, Sent>,
    dry: BTreeSet<(ServiceName, ZoneName)>,
    asked: HashMap<(ServiceName, ZoneName), Instant>,
    forecast: DemandForecast,
}

/// Orders upstreams while this node holds the duties, until the task is dropped.
pub(crate) async fn run(gateway: Rc<Gateway>, leader: Rc<Leadership>, calls: Rc<dyn PlatformApi>) {
    let mut orders = Orders::default();
    loop {
        sleep(INTERVAL).await;
        orders.forecast.observe(&gateway, Instant::now());
        let Some(table) = gateway.table() else { continue };
        for service in table.services().filter(|service| service.scaling.is_some()) {
            let there = u32::try_from(gateway.directory.available(&service.name).len());
            orders.forecast.see(&service.name, there.unwrap_or(u32::MAX), Instant::now());
        }
        if leader.fence().is_none() {
            orders.sent.clear();
            continue;
        }
        for service in table.services() {
            if let Some(spec) = &service.scaling {
                step(&gateway, &leader, &*calls, service, spec, &mut orders).await;
            }
        }
    }
}

async fn step(
    gateway: &Gateway,
    leader: &Leadership,
    calls: &dyn PlatformApi,
    service: &ServiceSpec,
    spec: &ScalingSpec,
    orders: &mut Orders,
) {
    let now = Instant::now();
    let supply = supply(gateway, service, spec, orders);
    let Some(need) = orders.forecast.need(service, now) else { return };
    let sizes = plan(spec, need, &supply);
    let mut left = MAX_CALLS;
    for (size, zone) in sizes.iter().zip(&supply) {
        if zone.is_reclaimable_exhausted {
            ask_again(leader, calls, service, size, zone, orders).await;
        }
        for purchase in [PurchaseOption::Reclaimable, PurchaseOption::OnDemand] {
            if left > 0 && is_due(service, size, zone, purchase, orders, now) {
                left -= 1;
                order(leader, calls, service, size, purchase, orders).await;
            }
        }
    }
}

fn supply(
    gateway: &Gateway,
    service: &ServiceSpec,
    spec: &ScalingSpec,
    orders: &Orders,
) -> Vec<ZoneCapacity> {
    let upstreams = gateway.directory.available(&service.name);
    let count = |zone: &ZoneName, is_reclaimable: bool| {
        let fits = |up: &&Rc<crate::Upstream>| {
            let entry = up.entry.borrow();
            entry.zone == *zone && entry.is_reclaimable == is_reclaimable
        };
        u32::try_from(upstreams.iter().filter(fits).count()).unwrap_or(u32::MAX)
    };
    spec.zone_prices
        .keys()
        .map(|zone| {
            let key = (service.name.clone(), zone.clone());
            ZoneCapacity {
                zone: zone.clone(),
                on_demand: count(zone, false),
                reclaimable: count(zone, true),
                is_reclaimable_exhausted: orders.dry.contains(&key),
            }
        })
        .collect()
}

fn is_due(
    service: &ServiceSpec,
    size: &ZoneTarget,
    zone: &ZoneCapacity,
    purchase: PurchaseOption,
    orders: &Orders,
    now: Instant,
) -> bool {
    if zone.is_reclaimable_exhausted && purchase == PurchaseOption::Reclaimable {
        return false;
    }
    let wanted = size.of(purchase);
    let there = match purchase {
        PurchaseOption::OnDemand => zone.on_demand,
        PurchaseOption::Reclaimable => zone.reclaimable,
    };
    let subject = (service.name.clone(), size.zone.clone(), purchase);
    match orders.sent.get(&subject) {
        None => wanted != there,
        Some(sent) if sent.count != wanted => true,
        Some(sent) => there != wanted && now - sent.at > REPEAT_AFTER,
    }
}

/// Asks a dry zone for one more reclaimable upstream now and then.
async fn ask_again(
    leader: &Leadership,
    calls: &dyn PlatformApi,
    service: &ServiceSpec,
    size: &ZoneTarget,
    zone: &ZoneCapacity,
    orders: &mut Orders,
) {
    let now = Instant::now();
    let key = (service.name.clone(), zone.zone.clone());
    let is_due = orders.asked.get(&key).is_none_or(|at| now - *at > ASK_AGAIN);
    if !is_due {
        return;
    }
    orders.asked.insert(key.clone(), now);
    let one_more = ZoneTarget { reclaimable: zone.reclaimable + 1, ..size.clone() };
    order(leader, calls, service, &one_more, PurchaseOption::Reclaimable, orders).await;
}

async fn order(
    leader: &Leadership,
    calls: &dyn PlatformApi,
    service: &ServiceSpec,
    size: &ZoneTarget,
    purchase: PurchaseOption,
    orders: &mut Orders,
) {
    let Some(fence) = leader.fence() else { return };
    let count = size.of(purchase);
    let order =
        CapacityOrder { service: service.name.clone(), zone: size.zone.clone(), purchase, count };
    let result = calls.order_capacity(fence, &order).await;
    let now = Instant::now();
    let subject = (service.name.clone(), size.zone.clone(), purchase);
    let refused = |err: &PlatformApiError| {
        note(&Belief::OrderRefused {
            service: &service.name,
            zone: &size.zone,
            purchase,
            count,
            reason: &err.to_string(),
        });
    };
    match result {
        Ok(()) => {
            note(&Belief::Ordered { service: &service.name, zone: &size.zone, purchase, count });
            if purchase == PurchaseOption::Reclaimable {
                orders.dry.remove(&(service.name.clone(), size.zone.clone()));
            }
            orders.sent.insert(subject, Sent { count, at: now });
        }
        Err(PlatformApiError::NoneAvailable) => {
            refused(&PlatformApiError::NoneAvailable);
            orders.sent.remove(&subject);
            if purchase == PurchaseOption::Reclaimable {
                let key = (service.name.clone(), size.zone.clone());
                orders.asked.insert(key.clone(), now);
                orders.dry.insert(key);
            }
        }
        Err(err) => {
            refused(&err);
            orders.sent.insert(subject, Sent { count, at: now });
        }
    }
}
