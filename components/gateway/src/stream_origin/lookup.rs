//! Finds out what began a stream that a client takes up.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Response, Uri, body::BoxBody};
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, timeout};

use super::{
    StreamKey,
    answers::{OriginAnswer, OriginAnswers},
};
use crate::{
    Gateway, RequestInfo,
    decision::OriginBasis,
    peer_http::{FetchError, connect, encoded, get, query_value},
    peers::RecordHolders,
    read_barrier::BarrierError,
    route_history::RouteKey,
    software_version::ServiceVersion,
};

/// Path of the question what began a stream; the query holds its key, that of its route, and whether
/// the answer has to rest on all that the store holds.
pub(crate) const ORIGIN_PATH: &str = "/origin";

/// Time within which the nodes of one availability zone answer, or those of all others.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The same for nodes that bring their view up to date first.
const CURRENT_ANSWER_TIMEOUT: Duration = Duration::from_millis(650);

/// How much an answer has to rest on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    /// What the node knows.
    Known,
    /// All that the store held when the node was asked.
    Current,
}

impl Freshness {
    fn timeout(self) -> Duration {
        match self {
            Freshness::Known => ANSWER_TIMEOUT,
            Freshness::Current => CURRENT_ANSWER_TIMEOUT,
        }
    }
}

/// What was found out about the origin of a stream.
#[derive(Debug)]
pub(super) struct FoundOrigin {
    pub(super) began_at: Option<ServiceVersion>,
    pub(super) basis: OriginBasis,
    /// Why this node's view was not up to date, if that was asked.
    pub(super) barrier: Option<BarrierError>,
}

/// A stream that a client takes up.
pub(super) struct OriginLookup<'a> {
    gateway: &'a Gateway,
    key: StreamKey,
    /// Whether the client names the request that brought the first event.
    is_named: bool,
    route: RouteKey,
}

impl<'a> OriginLookup<'a> {
    pub(super) fn new(
        gateway: &'a Gateway,
        info: &RequestInfo,
        route: RouteKey,
    ) -> OriginLookup<'a> {
        let is_named = info.resumes.is_some();
        OriginLookup { gateway, key: StreamKey::from(info), is_named, route }
    }

    /// Looks for a record of the stream, at this node and at those that hold it for the others.
    ///
    /// Without a record, it began at the only version of the route's only service, if that follows
    /// from a read of the store that began after the client's request came: a stream begins only by
    /// a configuration and at a version that the store holds.
    pub(super) async fn find(&self) -> FoundOrigin {
        let own = self.gateway.stream_origins.borrow().get(self.key).cloned();
        if let Some(began_at) = own.filter(|_| self.is_named) {
            return FoundOrigin::at(began_at, OriginBasis::OwnRecord);
        }
        let mut answers = OriginAnswers::default();
        let zone = &self.gateway.settings.zone;
        let holders = self.gateway.peers.borrow().record_holders(zone, self.key.0, Instant::now());
        for targets in [&holders.own_zone, &holders.other_zones] {
            self.ask(targets, Freshness::Known, &mut answers).await;
            if let Some(began_at) = answers.recorded().filter(|_| self.is_named) {
                return FoundOrigin::at(began_at, OriginBasis::OtherRecord);
            }
        }
        self.conclude(holders, answers).await
    }

    /// Returns the only possible origin, if there is one.
    async fn conclude(&self, holders: RecordHolders, mut answers: OriginAnswers) -> FoundOrigin {
        if answers.has_several() || self.gateway.possible_origins(self.route).is_several() {
            return FoundOrigin::unknown(None);
        }
        let passed = self.gateway.pass_read_barrier().await;
        // What is possible is asked after the barrier.
        let possible = self.gateway.possible_origins(self.route);
        answers.push(OriginAnswer { recorded: None, possible, is_current: passed.is_ok() });
        if passed.is_err() && !answers.has_several() {
            let others: Vec<_> = holders.own_zone.into_iter().chain(holders.other_zones).collect();
            self.ask(&others, Freshness::Current, &mut answers).await;
        }
        match answers.only_origin() {
            Some(began_at) => FoundOrigin::at(began_at, OriginBasis::OnlyVersion),
            None => FoundOrigin::unknown(passed.err()),
        }
    }

    /// Asks some nodes; ends with the first answer that is enough.
    async fn ask(&self, targets: &[SocketAddr], needed: Freshness, answers: &mut OriginAnswers) {
        let is_current = needed == Freshness::Current;
        let (key, route) = (self.key.0, self.route.0);
        let uri = format!("{ORIGIN_PATH}?key={key}&route={route}&current={is_current}");
        let asked = async {
            let mut asked: FuturesUnordered<_> =
                targets.iter().map(|target| fetch(*target, &uri)).collect();
            while let Some(answer) = asked.next().await {
                match answer {
                    Ok(answer) => answers.push(answer),
                    Err(err) => log::debug!("peers: the origin of a stream was not told: {err}"),
                }
                if answers.recorded().is_some() || is_current && answers.only_origin().is_some() {
                    return;
                }
            }
        };
        if timeout(needed.timeout(), asked).await.is_err() {
            log::debug!("peers: the origin of a stream was not told in time");
        }
    }
}

impl FoundOrigin {
    fn at(began_at: ServiceVersion, basis: OriginBasis) -> FoundOrigin {
        FoundOrigin { began_at: Some(began_at), basis, barrier: None }
    }

    fn unknown(barrier: Option<BarrierError>) -> FoundOrigin {
        FoundOrigin { began_at: None, basis: OriginBasis::Unknown, barrier }
    }
}

impl Gateway {
    /// Returns what this node knows of a stream's origin.
    fn origin_answer(&self, key: StreamKey, route: RouteKey) -> OriginAnswer {
        let recorded = self.stream_origins.borrow().get(key).cloned();
        OriginAnswer { recorded, possible: self.possible_origins(route), is_current: false }
    }

    /// Waits until the view holds all that the store held when this was called.
    async fn pass_read_barrier(&self) -> Result<(), BarrierError> {
        match self.read_barrier.get() {
            Some(barrier) => barrier.pass().await,
            None => Err(BarrierError::Incomplete),
        }
    }
}

async fn fetch(target: SocketAddr, uri: &str) -> Result<OriginAnswer, FetchError> {
    let uri = Uri::try_from(uri).unwrap_or(Uri::from_static(ORIGIN_PATH));
    Ok(get(&mut connect(target).await?, uri, Duration::ZERO).await?.resource)
}

/// Answers the question of another node what began a stream.
pub(crate) async fn answer_origin(gateway: &Rc<Gateway>, query: &str) -> Response<BoxBody> {
    let key = query_value(query, "key").and_then(|key| key.parse().ok()).map(StreamKey);
    let route = query_value(query, "route").and_then(|key| key.parse().ok()).map(RouteKey);
    let (Some(key), Some(route)) = (key, route) else {
        return encoded("origin", &OriginAnswer::default());
    };
    let must_be_current = query_value(query, "current") == Some("true");
    let is_current = must_be_current && gateway.pass_read_barrier().await.is_ok();
    let answer = OriginAnswer { is_current, ..gateway.origin_answer(key, route) };
    encoded("origin", &answer)
}
