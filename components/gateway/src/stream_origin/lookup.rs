//! Finds out which version began a stream that a client takes up.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Response, Uri, body::BoxBody};
use futures_util::{StreamExt, stream::FuturesUnordered};
use lycheelatch_prelude::ServiceName;
use tokio::time::{Instant, timeout};

use super::{
    StreamKey,
    answers::{OriginAnswer, OriginAnswers},
};
use crate::{
    Gateway,
    decision::OriginBasis,
    peer_http::{FetchError, connect, encoded, get, query_value},
    read_barrier::BarrierError,
    serve::RequestContext,
    software_version::SoftwareVersion,
};

/// Path of the question which version began a stream; the query holds its key, its service, and
/// whether the answer has to rest on all that the store holds.
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
    pub(super) version: Option<SoftwareVersion>,
    pub(super) basis: OriginBasis,
    /// Why this node's view was not up to date, if that was asked.
    pub(super) barrier: Option<BarrierError>,
}

/// A stream that a client takes up.
pub(super) struct OriginLookup<'a> {
    gateway: &'a Gateway,
    service: &'a ServiceName,
    key: StreamKey,
    /// Whether the client names the request that brought the first event.
    is_named: bool,
    /// Whether the stream can only have begun at this service.
    is_only_service: bool,
}

impl<'a> From<&'a RequestContext> for OriginLookup<'a> {
    fn from(cx: &'a RequestContext) -> OriginLookup<'a> {
        OriginLookup {
            gateway: &cx.gateway,
            service: &cx.service.name,
            key: cx.stream_key(),
            is_named: cx.info.resumes.is_some(),
            // Another service of a split route may have begun it, before the shares were changed.
            is_only_service: !cx.route.is_split(),
        }
    }
}

impl OriginLookup<'_> {
    /// Looks for a record of the stream, at this node and at those that hold it for the others.
    ///
    /// Without a record, it began at the only version that the service has had, if that follows
    /// from a read of the store that began after the client's request came: a stream begins only at
    /// a version whose entry the store holds.
    pub(super) async fn find(&self) -> FoundOrigin {
        let own = self.gateway.origin_answer(self.key, self.service);
        if let Some(version) = own.recorded.clone().filter(|_| self.is_named) {
            return FoundOrigin::at(version, OriginBasis::OwnRecord);
        }
        let mut answers = OriginAnswers::default();
        let zone = &self.gateway.settings.zone;
        let holders = self.gateway.peers.borrow().record_holders(zone, self.key.0, Instant::now());
        for targets in [&holders.own_zone, &holders.other_zones] {
            self.ask(targets, Freshness::Known, &mut answers).await;
            if let Some(version) = answers.recorded().filter(|_| self.is_named) {
                return FoundOrigin::at(version, OriginBasis::OtherRecord);
            }
        }
        if !self.is_only_service {
            return FoundOrigin::unknown(None);
        }
        let passed = self.gateway.pass_read_barrier().await;
        // The versions are read after the barrier.
        let versions = self.gateway.known_versions(self.service);
        answers.push(OriginAnswer { recorded: None, versions, is_current: passed.is_ok() });
        if passed.is_err() {
            let others: Vec<_> = holders.own_zone.into_iter().chain(holders.other_zones).collect();
            self.ask(&others, Freshness::Current, &mut answers).await;
        }
        match answers.only_version() {
            Some(version) => FoundOrigin::at(version, OriginBasis::OnlyVersion),
            None => FoundOrigin::unknown(passed.err()),
        }
    }

    /// Asks some nodes; ends with the first answer that is enough.
    async fn ask(&self, targets: &[SocketAddr], needed: Freshness, answers: &mut OriginAnswers) {
        let is_current = needed == Freshness::Current;
        let (key, service) = (self.key.0, self.service);
        let uri = format!("{ORIGIN_PATH}?key={key}&service={service}&current={is_current}");
        let asked = async {
            let mut asked: FuturesUnordered<_> =
                targets.iter().map(|target| fetch(*target, &uri)).collect();
            while let Some(answer) = asked.next().await {
                match answer {
                    Ok(answer) => answers.push(answer),
                    Err(err) => log::debug!("peers: the origin of a stream was not told: {err}"),
                }
                if answers.recorded().is_some() || is_current && answers.only_version().is_some() {
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
    fn at(version: SoftwareVersion, basis: OriginBasis) -> FoundOrigin {
        FoundOrigin { version: Some(version), basis, barrier: None }
    }

    fn unknown(barrier: Option<BarrierError>) -> FoundOrigin {
        FoundOrigin { version: None, basis: OriginBasis::Unknown, barrier }
    }
}

impl Gateway {
    /// Returns what this node knows of a stream's origin.
    fn origin_answer(&self, key: StreamKey, service: &ServiceName) -> OriginAnswer {
        let recorded = self.stream_origins.borrow().get(key).cloned();
        OriginAnswer { recorded, versions: self.known_versions(service), is_current: false }
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

/// Answers the question of another node which version began a stream.
pub(crate) async fn answer_origin(gateway: &Rc<Gateway>, query: &str) -> Response<BoxBody> {
    let key = query_value(query, "key").and_then(|key| key.parse().ok()).map(StreamKey);
    let service = query_value(query, "service").and_then(|service| service.parse().ok());
    let (Some(key), Some(service)) = (key, service) else {
        return encoded("origin", &OriginAnswer::default());
    };
    let must_be_current = query_value(query, "current") == Some("true");
    let is_current = must_be_current && gateway.pass_read_barrier().await.is_ok();
    let answer = OriginAnswer { is_current, ..gateway.origin_answer(key, &service) };
    encoded("origin", &answer)
}
