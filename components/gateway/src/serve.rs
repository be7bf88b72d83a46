//! One request, from its head to its answer: open, admit, dispatch, relay.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_http::{
    ConnectionType, HttpMessage, Method, Request, Response, Uri,
    body::BoxBody,
    header::{AUTHORIZATION, HOST, HeaderMap},
};
use bytes::Bytes;
use lycheelatch_prelude::ServiceName;
use tokio::time::{Instant, timeout_at};

use crate::{
    Rank, RequestInfo, Route, RoutingTable, ServiceSpec, Workspace,
    answer::OwnAnswer,
    connection::read_payload,
    decision::{Decision, Reason, RequestEnded, RequestRefused, millis},
    dispatch::dispatch,
    engine_load::Chain,
    gateway::{Demand, Gateway, OpenRequest},
};

/// Time after which a caller of a node that holds no configuration may come back.
const NOT_INFORMED_RETRY: Duration = Duration::from_millis(300);

/// Deadline of callers that name none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// A request that was opened: everything that later steps decide by.
pub(crate) struct Job {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) table: Rc<RoutingTable>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<ServiceSpec>,
    pub(crate) workspace: Option<Arc<Workspace>>,
    pub(crate) facts: RequestInfo,
    pub(crate) chain: Option<Chain>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Instant,
    /// When the caller stops waiting, or the route's time is up.
    pub(crate) ends: Instant,
    pub(crate) _open: OpenRequest,
}

impl Job {
    /// Returns the time left, for the upstream's deadline.
    pub(crate) fn left(&self) -> Duration {
        self.ends.saturating_duration_since(Instant::now())
    }

    /// Returns the rank: the workspace's goes before the route's.
    pub(crate) fn rank(&self) -> Rank {
        let of_workspace = self.workspace.as_ref().and_then(|workspace| workspace.rank);
        of_workspace.unwrap_or(self.route.rank)
    }

    /// Writes how the request ended.
    pub(crate) fn log_end(&self, reason: Reason, status: u16, sends: usize) {
        let metrics = &self.gateway.metrics;
        metrics.answers.with_label_values(&[<&str>::from(reason)]).inc();
        self.gateway.decisions.write(&Decision::RequestEnded(RequestEnded {
            request: &self.facts.id,
            route: &self.route.name,
            workspace: self.workspace.as_ref().map(|workspace| &workspace.name),
            reason,
            status,
            sends,
            elapsed_ms: millis(self.arrived.elapsed()),
            config_version: self.table.version,
        }));
    }
}

/// Answers one request of a caller.
pub(crate) async fn answer(gateway: Rc<Gateway>, mut req: Request) -> Response<BoxBody> {
    let arrived = Instant::now();
    let mut response = match open(&gateway, &mut req, arrived).await {
        Ok(job) => run(Rc::new(job)).await,
        Err((id, refusal)) => {
            gateway.metrics.answers.with_label_values(&[<&str>::from(refusal.reason)]).inc();
            let response = refusal.into_response(&gateway, &id);
            gateway.decisions.write(&Decision::RequestRefused(RequestRefused {
                request: &id,
                reason: refusal.reason,
                status: response.status().as_u16(),
                retry_after_ms: refusal.retry_after.map(millis),
                config_version: gateway.table().map(|table| table.version),
            }));
            response
        }
    };
    if gateway.is_stopping() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

async fn run(job: Rc<Job>) -> Response<BoxBody> {
    let refusal = match dispatch(&job).await {
        Ok(response) => return response,
        Err(refusal) => refusal,
    };
    let deadline = job.facts.deadline.unwrap_or(DEFAULT_DEADLINE);
    let refusal = refusal.within(deadline.saturating_sub(job.arrived.elapsed()));
    let response = refusal.into_response(&job.gateway, &job.facts.id);
    job.log_end(refusal.reason, response.status().as_u16(), 0);
    response
}

/// Reads what decides how a request is treated; a refusal comes with the request's id.
async fn open(
    gateway: &Rc<Gateway>,
    req: &mut Request,
    arrived: Instant,
) -> Result<Job, (Arc<str>, OwnAnswer)> {
    let facts = gateway.dialect.parse_request(req.headers()).map_err(|err| {
        log::debug!("request: {err}");
        (Arc::from(""), OwnAnswer::new(Reason::BadRequest))
    })?;
    let id = facts.id.clone();
    let deadline = facts.deadline.unwrap_or(DEFAULT_DEADLINE);
    let opened = open_known(gateway, req, facts, arrived).await;
    opened.map_err(|refusal| (id, refusal.within(deadline)))
}

async fn open_known(
    gateway: &Rc<Gateway>,
    req: &mut Request,
    facts: RequestInfo,
    arrived: Instant,
) -> Result<Job, OwnAnswer> {
    let open = gateway.open_request();
    if gateway.takes_no_more() {
        return Err(OwnAnswer::come_back(Reason::Stopping, Duration::ZERO));
    }
    if !gateway.is_informed() {
        return Err(OwnAnswer::come_back(Reason::NotInformed, NOT_INFORMED_RETRY));
    }
    let table = gateway.table().ok_or(OwnAnswer::new(Reason::NotInformed))?;
    let route = route_of(&table, req).ok_or(OwnAnswer::new(Reason::UnknownRoute))?.clone();
    let workspace = workspace_of(&table, &route, req)?;
    let deadline = facts.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let ends = arrived + deadline;
    let max_bytes = table.limits.body_bytes;
    let reading = timeout_at(ends, read_body(req, max_bytes)).await;
    let body = reading.map_err(|_| OwnAnswer::new(Reason::TooLate))??;
    let service = pick_service(&table, &route)?;
    let chain = facts.prompt.as_ref().map(Chain::from);
    let now = Instant::now();
    draw_quota(gateway, workspace.as_deref(), &facts, now)?;
    gateway.count_request(&service.name, demand_of(&facts), now);
    let headers = std::mem::take(&mut req.head_mut().headers);
    let (method, uri) = (req.method().clone(), req.uri().clone());
    let gateway = gateway.clone();
    Ok(Job {
        gateway,
        table,
        route,
        service,
        workspace,
        facts,
        chain,
        method,
        uri,
        headers,
        body,
        arrived,
        ends,
        _open: open,
    })
}

fn route_of<'a>(table: &'a RoutingTable, req: &Request) -> Option<&'a Arc<Route>> {
    let host = req.headers().get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(req.uri().host())?;
    table.route(host, req.uri().path())
}

fn workspace_of(
    table: &RoutingTable,
    route: &Route,
    req: &Request,
) -> Result<Option<Arc<Workspace>>, OwnAnswer> {
    if !table.has_workspaces() || route.is_public {
        return Ok(None);
    }
    let shown = req.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = shown.and_then(|value| value.strip_prefix("Bearer "));
    let workspace = key.and_then(|key| table.workspace_of(key.trim()));
    workspace.cloned().map(Some).ok_or(OwnAnswer::new(Reason::UnknownKey))
}

async fn read_body(req: &mut Request, max_bytes: usize) -> Result<Bytes, OwnAnswer> {
    let length = req.headers().get("content-length").and_then(|value| value.to_str().ok());
    let length: Option<usize> = length.and_then(|text| text.parse().ok());
    if length.is_some_and(|length| length > max_bytes) {
        return Err(OwnAnswer::new(Reason::BodyTooLarge));
    }
    let mut payload = req.take_payload();
    match read_payload(&mut payload, max_bytes).await {
        Ok(Some(body)) => Ok(body),
        Ok(None) => Err(OwnAnswer::new(Reason::BodyTooLarge)),
        Err(err) => {
            log::debug!("request: the body did not come whole: {err}");
            Err(OwnAnswer::new(Reason::BodyIncomplete))
        }
    }
}

fn pick_service(table: &RoutingTable, route: &Route) -> Result<Arc<ServiceSpec>, OwnAnswer> {
    let name: Option<&ServiceName> = route.pick(rand::random());
    let service = name.and_then(|name| table.service(name));
    service.cloned().ok_or(OwnAnswer::new(Reason::NoUpstream))
}

fn draw_quota(
    gateway: &Gateway,
    workspace: Option<&Workspace>,
    facts: &RequestInfo,
    now: Instant,
) -> Result<(), OwnAnswer> {
    let Some(workspace) = workspace else { return Ok(()) };
    let Some(quota) = &workspace.quota else { return Ok(()) };
    let cost = match (quota.plain_tokens, &facts.prompt) {
        (None, _) => 1,
        (Some(_), Some(prompt)) => {
            u64::from(prompt.input_tokens) + u64::from(prompt.max_output_tokens)
        }
        (Some(plain), None) => plain,
    };
    let drawn = gateway.try_quota(workspace, cost, now);
    drawn.map_err(|after| OwnAnswer::come_back(Reason::OverQuota, after))
}

fn demand_of(facts: &RequestInfo) -> Demand {
    let Some(prompt) = &facts.prompt else {
        return Demand { requests: 1, ..Demand::default() };
    };
    let generated = prompt.expected_output_tokens.unwrap_or(prompt.max_output_tokens);
    Demand {
        requests: 1,
        read_tokens: u64::from(prompt.input_tokens),
        generated_tokens: u64::from(generated),
        refused: 0,
    }
}
