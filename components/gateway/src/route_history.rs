//! Services at which the streams of each route may have begun lately.

use std::sync::Arc;

use tokio::time::Instant;

use lycheelatch_prelude::ServiceName;

use crate::{Route, RouteKind, RoutingTable, use_history::UseHistory};

#[cfg(test)]
mod tests;

/// Services of the routes whose streams can be resumed, by the route's name.
pub(crate) type RouteHistory = UseHistory<Arc<str>, ServiceName>;

impl RouteHistory {
    /// Takes note that a configuration replaces another one.
    pub(crate) fn replace(
        &mut self,
        before: Option<&RoutingTable>,
        table: &RoutingTable,
        now: Instant,
    ) {
        for (route, service) in before.into_iter().flat_map(resumable) {
            self.end(&route.name, service.clone(), now);
        }
        for (route, service) in resumable(table) {
            self.begin(&route.name, service.clone(), now);
        }
    }
}

/// Returns the routes whose streams can be resumed, with each of their services.
fn resumable(table: &RoutingTable) -> impl Iterator<Item = (&Arc<Route>, &ServiceName)> {
    let routes = table.routes().filter(|route| route.kind == RouteKind::ResumableStream);
    routes.flat_map(|route| route.services().map(move |service| (route, service)))
}
