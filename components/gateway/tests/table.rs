//! Selection of routes by host and path.

use std::{sync::Arc, time::Duration};

use lycheelatch_gateway::{
    CallerLimits, Priority, Route, RouteKind, RoutingTable, TableSource, WeightedService,
};

fn route(host: &str, prefix: &str) -> Route {
    let shares = vec![WeightedService { service: "svc".parse().unwrap(), weight: 1 }];
    Route {
        name: Arc::from(format!("{host}{prefix}")),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_secs(1),
        event_gap_target: Duration::from_secs(1),
        priority: Priority(0),
        shares,
        max_attempts: 1,
        is_public: true,
    }
}

fn table() -> RoutingTable {
    RoutingTable::from(TableSource {
        version: 1,
        routes: vec![route("shop.example", "/"), route("shop.example", "/a/"), route("[::1]", "/")],
        services: Vec::new(),
        workspaces: Vec::new(),
        limits: CallerLimits::default(),
    })
}

#[track_caller]
fn assert_route(host: &str, path: &str, expected: Option<&str>) {
    let table = table();
    let found = table.route(host, path);
    assert_eq!(found.map(|route| &*route.name), expected, "{host}{path}");
}

#[test]
fn route_has_the_longest_prefix() {
    assert_route("shop.example", "/a/b", Some("shop.example/a/"));
    assert_route("shop.example", "/ab", Some("shop.example/"));
    assert_route("other.example", "/", None);
}

#[test]
fn route_ignores_case_and_port_of_the_host() {
    assert_route("Shop.Example:8080", "/", Some("shop.example/"));
    assert_route("[::1]:8080", "/", Some("[::1]/"));
    assert_route("[::1]", "/", Some("[::1]/"));
}
