//! Handles a caller's request: routing, authentication, admission, dispatch and response.

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix_http::{
    ConnectionType, HttpMessage, Method, Request, Response, Uri,
    body::BoxBody,
    header::{AUTHORIZATION, HOST, HeaderMap},
};
use bytes::Bytes;
use tokio::time::Instant;

use crate::{
    Priority, RequestInfo, Route, RoutingTable, ServiceSpec, Workspace,
    client_connection::ClientConnection,
    crash_evidence::{Trial, check_request},
    decision::{Decision, Reason, RequestEnded, RequestRefused},
    dispatch::dispatch,
    engine_load::PrefixChain,
    event_log::millis,
    gateway::{Demand, Gateway},
    held_memory::HeldMemory,
    local_response::LocalResponse,
    open_count::OpenGuard,
    quota::Charge,
    request_body::{BodyError, read_request_body},
    software_version::{ServiceVersion, SoftwareVersion},
    stream_origin::origin_of_resumed,
};

/// `Retry-After` of a node that has not received its configuration yet.
const NOT_INITIALIZED_RETRY: Duration = Duration::from_millis(300);

/// `Retry-After` of a node that has no memory for a request's body.
const NO_MEMORY_RETRY: Duration = Duration::from_millis(500);

/// Deadline of requests that specify none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// An admitted request with everything needed to serve it.
pub(crate) struct RequestContext {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) table: Rc<RoutingTable>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<ServiceSpec>,
    pub(crate) workspace: Option<Arc<Workspace>>,
    pub(crate) info: RequestInfo,
    pub(crate) chain: Option<PrefixChain>,
    pub(crate) trial: Trial,
    /// Version of the software that began the stream.
    pub(crate) stream_version: OnceCell<SoftwareVersion>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Instant,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: Instant,
    /// Number of upstreams that the request was sent to.
    pub(crate) sends: Cell<usize>,
    pub(crate) _open_request: OpenGuard,
    /// Memory of the body.
    pub(crate) _memory: HeldMemory,
}

impl RequestContext {
    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Runs `work` until the request has to be answered; returns `None` if it has not ended by then.
    pub(crate) async fn run_until_due<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        self.gateway.run_until(self.deadline, work).await
    }

    /// Returns the workspace's priority, or the route's if the workspace has none.
    pub(crate) fn priority(&self) -> Priority {
        let of_workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        of_workspace.unwrap_or(self.route.priority)
    }

    /// Logs and counts the end of the request.
    pub(crate) fn log_end(&self, reason: Reason, status: u16) {
        let metrics = &self.gateway.metrics;
        metrics.answers.with_label_values(&[<&str>::from(reason)]).inc();
        self.gateway.decisions.write(&Decision::RequestEnded(RequestEnded {
            request: &self.info.id,
            route: &self.route.name,
            workspace: self.workspace.as_ref().map(|workspace| &workspace.name),
            reason,
            status,
            sends: self.sends.get(),
            elapsed_ms: millis(self.arrived.elapsed()),
            config_version: self.table.version,
        }));
    }
}

/// Handles a request from a caller.
pub(crate) async fn handle(gateway: Rc<Gateway>, mut req: Request) -> Response<BoxBody> {
    let arrived = Instant::now();
    let mut response = match admit(&gateway, &mut req, arrived).await {
        Ok(cx) => run(Rc::new(cx)).await,
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

async fn run(cx: Rc<RequestContext>) -> Response<BoxBody> {
    let refusal = match dispatch(&cx).await {
        Ok(response) => return response,
        Err(refusal) => refusal,
    };
    let deadline = cx.info.deadline.unwrap_or(DEFAULT_DEADLINE);
    let refusal = refusal.cap_retry_after(deadline.saturating_sub(cx.arrived.elapsed()));
    let response = refusal.into_response(&cx.gateway, &cx.info.id);
    cx.log_end(refusal.reason, response.status().as_u16());
    response
}

/// Validates and admits a request; a rejection is returned together with the request id.
async fn admit(
    gateway: &Rc<Gateway>,
    req: &mut Request,
    arrived: Instant,
) -> Result<RequestContext, (Arc<str>, LocalResponse)> {
    let info = gateway.dialect.parse_request(req.headers()).map_err(|err| {
        log::debug!("request: {err}");
        (Arc::from(""), LocalResponse::new(Reason::BadRequest))
    })?;
    let id = info.id.clone();
    let deadline = info.deadline.unwrap_or(DEFAULT_DEADLINE);
    let admitted = admit_parsed(gateway, req, info, arrived).await;
    admitted.map_err(|refusal| (id, refusal.cap_retry_after(deadline)))
}

async fn admit_parsed(
    gateway: &Rc<Gateway>,
    req: &mut Request,
    info: RequestInfo,
    arrived: Instant,
) -> Result<RequestContext, LocalResponse> {
    let open_request = gateway.open_request();
    refuse_while_stopping(gateway)?;
    if !gateway.is_initialized() {
        return Err(LocalResponse::with_retry_after(Reason::NotInitialized, NOT_INITIALIZED_RETRY));
    }
    let (table, route) = current_route(gateway, req)?;
    let workspace = workspace_of(&table, &route, req)?;
    let timeout = info.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let deadline = arrived + timeout;
    let connection = ClientConnection::of(req).ok_or(LocalResponse::new(Reason::BadRequest))?;
    connection.set_deadline(deadline);
    let mut memory = gateway.client_memory.hold(connection.client);
    let reading = read_body(req, table.limits.body_bytes, &mut memory);
    let read = gateway.run_until(deadline, reading).await;
    let body = read.ok_or(LocalResponse::new(Reason::DeadlineExpired))??;
    let finding = origin_of_resumed(gateway, &route, &info);
    let found = gateway.run_until(deadline, finding).await;
    let began_at = found.ok_or(LocalResponse::new(Reason::DeadlineExpired))??;
    // All this may have taken long, and what is passed on now needs time for its response.
    refuse_while_stopping(gateway)?;
    let (table, route) = match began_at {
        // The configuration may have changed meanwhile.
        Some(_) => current_route(gateway, req)?,
        None => (table, route),
    };
    let service = pick_service(&table, &route, began_at.as_ref())?;
    let trial = check_request(gateway, &service, info.prompt.as_ref())?;
    let chain = info.prompt.as_ref().map(PrefixChain::from);
    let now = Instant::now();
    check_quota(gateway, workspace.as_deref(), &route, &info, now)?;
    gateway.count_request(&service.name, demand_of(&info), now);
    let headers = std::mem::take(&mut req.head_mut().headers);
    let (method, uri) = (req.method().clone(), req.uri().clone());
    let gateway = gateway.clone();
    Ok(RequestContext {
        gateway,
        table,
        route,
        service,
        workspace,
        info,
        chain,
        trial,
        stream_version: began_at.map_or_else(OnceCell::new, |at| OnceCell::from(at.version)),
        method,
        uri,
        headers,
        body,
        arrived,
        deadline,
        sends: Cell::new(0),
        _open_request: open_request,
        _memory: memory,
    })
}

fn refuse_while_stopping(gateway: &Gateway) -> Result<(), LocalResponse> {
    if gateway.rejects_requests() {
        return Err(LocalResponse::with_retry_after(Reason::Stopping, Duration::ZERO));
    }
    Ok(())
}

/// Returns the configuration in force and a request's route by it.
fn current_route(
    gateway: &Gateway,
    req: &Request,
) -> Result<(Rc<RoutingTable>, Arc<Route>), LocalResponse> {
    let table = gateway.table().ok_or(LocalResponse::new(Reason::NotInitialized))?;
    let route = route_of(&table, req).ok_or(LocalResponse::new(Reason::UnknownRoute))?.clone();
    Ok((table, route))
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
) -> Result<Option<Arc<Workspace>>, LocalResponse> {
    if !table.has_workspaces() || route.is_public {
        return Ok(None);
    }
    let header = req.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    let workspace = key.and_then(|key| table.workspace_of(key.trim()));
    workspace.cloned().map(Some).ok_or(LocalResponse::new(Reason::UnknownKey))
}

async fn read_body(
    req: &mut Request,
    max_bytes: usize,
    held: &mut HeldMemory,
) -> Result<Bytes, LocalResponse> {
    let length = req.headers().get("content-length").and_then(|value| value.to_str().ok());
    let length: Option<usize> = length.and_then(|text| text.parse().ok());
    let mut payload = req.take_payload();
    let read = read_request_body(&mut payload, length, max_bytes, held).await;
    read.map_err(|err| {
        log::debug!("request: {err}");
        match err {
            BodyError::TooLarge(_) => LocalResponse::new(Reason::BodyTooLarge),
            BodyError::Incomplete(_) => LocalResponse::new(Reason::BodyIncomplete),
            BodyError::NoRoom(_) => {
                LocalResponse::with_retry_after(Reason::NoMemory, NO_MEMORY_RETRY)
            }
        }
    })
}

/// Returns the service that began the stream that is taken up, if the route allows it; for any other
/// request draws one by the route's shares.
fn pick_service(
    table: &RoutingTable,
    route: &Route,
    began_at: Option<&ServiceVersion>,
) -> Result<Arc<ServiceSpec>, LocalResponse> {
    let name = match began_at {
        Some(began_at) => {
            let mut allowed = route.services();
            let service = allowed.find(|service| **service == began_at.service);
            Some(service.ok_or(LocalResponse::new(Reason::OriginNotAllowed))?)
        }
        None => route.pick(rand::random()),
    };
    let service = name.and_then(|name| table.service(name));
    service.cloned().ok_or(LocalResponse::new(Reason::NoUpstream))
}

fn check_quota(
    gateway: &Gateway,
    workspace: Option<&Workspace>,
    route: &Route,
    info: &RequestInfo,
    now: Instant,
) -> Result<(), LocalResponse> {
    let Some(workspace) = workspace else { return Ok(()) };
    let Some(quota) = &workspace.quota else { return Ok(()) };
    let cost = match (quota.plain_tokens, &info.prompt) {
        (None, _) => 1,
        (Some(_), Some(prompt)) => {
            u64::from(prompt.input_tokens) + u64::from(prompt.max_output_tokens)
        }
        (Some(plain), None) => plain,
    };
    let charge = Charge { cost, priority: workspace.priority.unwrap_or(route.priority) };
    let charged = gateway.try_quota(workspace, &info.id, charge, now);
    charged.map_err(|after| LocalResponse::with_retry_after(Reason::OverQuota, after))
}

fn demand_of(info: &RequestInfo) -> Demand {
    let Some(prompt) = &info.prompt else {
        return Demand { requests: 1, ..Demand::default() };
    };
    Demand { requests: 1, prompt_tokens: u64::from(prompt.input_tokens), ..Demand::default() }
}
