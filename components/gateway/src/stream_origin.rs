//! Which service and which version of its software began a stream.
//!
//! A client that takes up a stream at another node names only its first request. The node that
//! relayed that request's first event tells a few nodes, which the request's hash selects, so that
//! any node can ask them (`lookup`), and the first one of its availability zone, which keeps them in
//! the store (`stream_record`). A record is found by the request alone, as the shares of a split route
//! may have changed since. Where the route has had a single service, and that a single version, for as
//! long as a stream can last, no record is needed; that this is so has to follow from a read of the
//! store that began after the client's request came.

use std::{
    collections::{BTreeSet, HashMap, VecDeque, hash_map::Entry},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Gateway, RequestInfo, Route,
    decision::{Decision, Reason, StreamTakenUp},
    directory::Upstream,
    local_response::LocalResponse,
    messages::Datagram,
    notices::send_notice,
    route_history::RouteKey,
    serve::RequestContext,
    software_version::{ServiceVersion, SoftwareVersion},
};

mod answers;
mod lookup;
#[cfg(test)]
mod tests;

use answers::PossibleOrigins;
use lookup::OriginLookup;
pub(crate) use lookup::{ORIGIN_PATH, answer_origin};

/// Shortest time for which a stream and its continuations are assumed to last.
const MIN_STREAM_LIFE: Duration = Duration::from_secs(20);

/// Lifetime of a stream with its continuations, as a multiple of the longest route timeout.
const LIFE_PER_TIMEOUT: u32 = 2;

/// `Retry-After` of a stream that can't be taken up here.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Hash of the request that brought a stream's first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct StreamKey(pub(crate) u64);

impl From<&RequestInfo> for StreamKey {
    /// Returns the key of a request's stream: that of the first request, if it is taken up.
    fn from(info: &RequestInfo) -> StreamKey {
        StreamKey::of_request(info.resumes.as_deref().unwrap_or(&info.id))
    }
}

impl StreamKey {
    fn of_request(id: &str) -> StreamKey {
        StreamKey(xxh3_64(id.as_bytes()))
    }
}

/// A stream with the service and version that began it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamOrigin {
    pub(crate) key: StreamKey,
    pub(crate) began_at: ServiceVersion,
}

/// Origins of the streams that began within their lifetime.
#[derive(Debug)]
pub(crate) struct StreamOrigins {
    current: HashMap<StreamKey, ServiceVersion>,
    previous: HashMap<StreamKey, ServiceVersion>,
    rotated_at: Instant,
    /// Origins that the store does not hold, oldest first.
    unsaved: VecDeque<(Instant, StreamOrigin)>,
    /// Whether the versions that were in use before the process started are known.
    pub(crate) is_past_known: bool,
}

impl StreamOrigins {
    pub(crate) fn new(now: Instant) -> StreamOrigins {
        StreamOrigins {
            current: HashMap::new(),
            previous: HashMap::new(),
            rotated_at: now,
            unsaved: VecDeque::new(),
            is_past_known: false,
        }
    }

    /// Records an origin that the store does not hold.
    pub(crate) fn record(&mut self, origin: StreamOrigin, life: Duration, now: Instant) {
        if self.record_saved(origin.clone(), life, now) {
            self.unsaved.push_back((now, origin));
        }
        self.drop_unsaved(life, now);
    }

    /// Records an origin; the first record of a stream stays. Each is kept for at least `life`.
    ///
    /// Returns whether the stream had no record.
    fn record_saved(&mut self, origin: StreamOrigin, life: Duration, now: Instant) -> bool {
        if now - self.rotated_at >= life {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
        let entry = self.current.entry(origin.key);
        let is_new = matches!(entry, Entry::Vacant(_));
        entry.or_insert(origin.began_at);
        is_new
    }

    /// Drops the origins whose streams have ended from those to be saved.
    fn drop_unsaved(&mut self, life: Duration, now: Instant) {
        while self.unsaved.front().is_some_and(|(at, _)| now - *at > life) {
            self.unsaved.pop_front();
        }
    }

    /// Keeps origins that could not be saved for the next attempt.
    pub(crate) fn put_back(&mut self, origins: Vec<StreamOrigin>) {
        let now = Instant::now();
        origins.into_iter().rev().for_each(|origin| self.unsaved.push_front((now, origin)));
    }

    /// Returns what began a stream.
    pub(crate) fn get(&self, key: StreamKey) -> Option<&ServiceVersion> {
        self.previous.get(&key).or_else(|| self.current.get(&key))
    }
}

impl Gateway {
    /// Returns the time for which a stream can last, over all of a client's requests.
    pub(crate) fn stream_life(&self) -> Duration {
        let longest = self.table().map_or(Duration::ZERO, |table| table.longest_timeout());
        (longest * LIFE_PER_TIMEOUT).max(MIN_STREAM_LIFE)
    }

    /// Returns where the streams of a route can have begun, for as long as a stream can last.
    fn possible_origins(&self, route: RouteKey) -> PossibleOrigins {
        let since = self.streams_since();
        let routes = self.route_history.borrow();
        let versions = self.directory.versions.borrow();
        let Some(service) = routes.only_since(&route, since) else {
            return match routes.has_several_of(&route, since) {
                true => PossibleOrigins::Several,
                false => PossibleOrigins::Unknown,
            };
        };
        if versions.has_several_of(&service, since) {
            return PossibleOrigins::Several;
        }
        let is_old = self.started.elapsed() > self.stream_life();
        if !is_old && !self.stream_origins.borrow().is_past_known {
            return PossibleOrigins::Unknown;
        }
        match versions.only_since(&service, since) {
            Some(version) => PossibleOrigins::Only(ServiceVersion { service, version }),
            None => PossibleOrigins::Unknown,
        }
    }

    /// Returns whether this node keeps the origins of its availability zone in the store: the first
    /// live one does.
    pub(crate) fn is_zone_recorder(&self, now: Instant) -> bool {
        let is_first = self.peers.borrow().rank_in_zone(&self.settings.zone, now) == 0;
        is_first && !self.is_stopping()
    }

    /// Returns since when the streams that may still be taken up have begun, as far as this process
    /// can tell.
    fn streams_since(&self) -> Instant {
        Instant::now().checked_sub(self.stream_life()).unwrap_or(self.started)
    }

    /// Returns whether only records tell the origins of some streams: a route has had several
    /// services, or a service several versions.
    fn needs_records(&self) -> bool {
        let since = self.streams_since();
        self.directory.versions.borrow().has_several_since(since)
            || self.route_history.borrow().has_several_since(since)
    }

    /// Takes at most `max` origins that have to be saved; none while no record is needed.
    pub(crate) fn take_unsaved(&self, max: usize) -> Vec<StreamOrigin> {
        if !self.needs_records() {
            return Vec::new();
        }
        let unsaved = &mut self.stream_origins.borrow_mut().unsaved;
        let count = unsaved.len().min(max);
        unsaved.drain(..count).map(|(_, origin)| origin).collect()
    }

    /// Records an origin that another node announced.
    pub(crate) fn record_origin(&self, origin: StreamOrigin) {
        let life = self.stream_life();
        self.stream_origins.borrow_mut().record(origin, life, Instant::now());
    }

    /// Records an origin that was read from the store.
    pub(crate) fn record_saved_origin(&self, origin: StreamOrigin) {
        let life = self.stream_life();
        self.stream_origins.borrow_mut().record_saved(origin, life, Instant::now());
    }

    /// Records what began a request's stream, here and at the nodes that others will ask: those of
    /// this availability zone, and in case the zone is lost, those of others while only records tell.
    fn announce_origin(&self, origin: StreamOrigin) {
        self.record_origin(origin.clone());
        let Some(socket) = self.datagrams.get() else { return };
        let zone = &self.settings.zone;
        let holders = self.peers.borrow().record_holders(zone, origin.key.0, Instant::now());
        let mut targets: BTreeSet<_> = holders.own_zone.into_iter().collect();
        if self.needs_records() {
            targets.extend(holders.other_zones);
        }
        send_notice(socket, &Datagram::StreamBegan(origin), targets);
    }
}

impl RequestContext {
    /// Returns whether an upstream may run the request: a stream goes on only at its own version, and
    /// not at one that was rolled back.
    pub(crate) fn may_run_at(&self, upstream: &Upstream) -> bool {
        let Some(version) = self.stream_version.get() else { return true };
        let is_barred = || {
            let rollouts = self.gateway.rollouts.borrow();
            rollouts.bars(&self.service.name, version.name())
        };
        SoftwareVersion::from(upstream) == *version && !is_barred()
    }

    /// Binds a stream whose first event is there to the version that generated it.
    pub(crate) fn bind_stream(&self, version: SoftwareVersion) {
        if !self.route.kind.may_repeat() {
            return;
        }
        let version = self.stream_version.get_or_init(|| version).clone();
        let began_at = ServiceVersion { service: self.service.name.clone(), version };
        self.gateway.announce_origin(StreamOrigin { key: StreamKey::from(&self.info), began_at });
    }
}

/// Returns what began the stream that a client takes up; `None` for any other request.
///
/// A stream of which that is not known is refused: its rest could come from another version.
pub(crate) async fn origin_of_resumed(
    gateway: &Gateway,
    route: &Route,
    info: &RequestInfo,
) -> Result<Option<ServiceVersion>, LocalResponse> {
    let Some(last_event) = info.resume_after.filter(|_| route.kind.is_stream()) else {
        return Ok(None);
    };
    let found = OriginLookup::new(gateway, info, RouteKey::from(route)).find().await;
    let began_at = found.began_at.as_ref();
    gateway.decisions.write(&Decision::StreamTakenUp(StreamTakenUp {
        request: &info.id,
        resumes: info.resumes.as_deref(),
        last_event,
        is_known: began_at.is_some(),
        basis: found.basis,
        service: began_at.map(|at| &at.service),
        version: began_at.and_then(|at| at.version.name()).map(|name| &**name),
        view: found.barrier.map(|err| err.to_string()),
    }));
    let unknown = LocalResponse::with_retry_after(Reason::UnknownOrigin, RETRY_AFTER);
    found.began_at.ok_or(unknown).map(Some)
}
