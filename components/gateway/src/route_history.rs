//! Services at which the streams of each route may have begun lately.

use std::sync::Arc;

use lycheelatch_prelude::ServiceName;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Route, RouteKind, RoutingTable, use_history::UseHistory};

#[cfg(test)]
mod tests;

/// Hash of a route's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouteKey(pub(crate) u64);

impl From<&Route> for RouteKey {
    fn from(route: &Route) -> RouteKey {
        RouteKey(xxh3_64(route.name.as_bytes()))
    }
}

/// Services of the routes whose streams can be resumed.
pub(crate) type RouteHistory = UseHistory<RouteKey, ServiceName>;

impl RouteHistory {
    /// Takes note that a configuration replaces another one.
    pub(crate) fn replace(
        &mut self,
        before: Option<&RoutingTable>,
        table: &RoutingTable,
        now: Instant,
    ) {
        for (route, service) in before.into_iter().flat_map(resumable) {
            self.end(&RouteKey::from(&**route), service.clone(), now);
        }
        for (route, service) in resumable(table) {
            self.begin(&RouteKey::from(&**route), service.clone(), now);
        }
    }
}

/// Returns the routes whose streams can be resumed, with each of their services.
fn resumable(table: &RoutingTable) -> impl Iterator<Item = (&Arc<Route>, &ServiceName)> {
    let routes = table.routes().filter(|route| route.kind == RouteKind::ResumableStream);
    routes.flat_map(|route| route.services().map(move |service| (route, service)))
}
