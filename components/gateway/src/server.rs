//! HTTP/1 servers that run on the current thread.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    Extensions, HttpService, KeepAlive, Request, Response, StatusCode,
    body::{BodySize, BoxBody, MessageBody},
};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::FutureExt;
use lycheelatch_policy::ConnectionLimits;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    client_connection::{ClientConnection, ReadLimits},
    connection_table::ConnectionTable,
    held_body::HeldBody,
    open_count::OpenCount,
    paced_stream::PacedStream,
};

/// Time that a client gets to receive the rest of a response when its connection is closed.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before the next connection is accepted after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Limits of a server's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ServerLimits {
    pub(crate) head_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) read: ReadLimits,
}

impl From<ServerLimits> for ConnectionLimits {
    fn from(limits: ServerLimits) -> ConnectionLimits {
        ConnectionLimits { head: limits.head_timeout, idle: limits.idle_timeout }
    }
}

/// The end of a server: when it begins, and which connections are still open.
#[derive(Clone)]
pub(crate) struct Drain {
    /// Turns true when no further connection is to be accepted and idle ones are to be closed.
    pub(crate) closing: watch::Receiver<bool>,
    /// Open connections.
    pub(crate) connections: OpenCount,
}

/// Binds a listening socket with `SO_REUSEADDR`.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and passes their requests to `handler`, until the future is dropped or
/// the server drains.
///
/// `limits` is called for each connection, since a new configuration may change the timeouts.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    table: Rc<ConnectionTable>,
    limits: impl Fn() -> ServerLimits,
    drain: Option<Drain>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    tokio::select! {
        () = table.check_progress(|| limits().into()) => {}
        () = accept(listener, &table, &limits, drain, handler) => {}
    }
}

async fn accept<H, F>(
    listener: TcpListener,
    table: &Rc<ConnectionTable>,
    limits: &impl Fn() -> ServerLimits,
    drain: Option<Drain>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let mut current = limits();
    let closing = drain.as_ref().map(|drain| drain.closing.clone());
    let mut service = service(current, closing.clone(), table.clone(), handler.clone()).await;
    loop {
        let accepted = tokio::select! {
            biased;
            () = closed(closing.clone()) => break,
            accepted = listener.accept() => accepted,
        };
        let Some((io, peer)) = accepted_connection(accepted).await else { continue };
        let wanted = limits();
        if wanted != current {
            current = wanted;
            service = self::service(current, closing.clone(), table.clone(), handler.clone()).await;
        }
        spawn_connection(&service, table, (io, peer), current, drain.as_ref());
    }
    // Requests on the connections that are left in the queue are answered: with the signal,
    // a new connection would be closed before its first request.
    let service = self::service(current, None, table.clone(), handler).await;
    while let Some(accepted) = listener.accept().now_or_never() {
        let Some((io, peer)) = accepted_connection(accepted).await else { return };
        spawn_connection(&service, table, (io, peer), current, drain.as_ref());
    }
}

/// Prepares an accepted connection; after an error, waits before the next one.
async fn accepted_connection(
    accepted: io::Result<(TcpStream, SocketAddr)>,
) -> Option<(TcpStream, SocketAddr)> {
    let (io, peer) = match accepted {
        Ok(accepted) => accepted,
        Err(err) => {
            log::warn!("server: failed to accept a connection: {err}");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            return None;
        }
    };
    if let Err(err) = io.set_nodelay(true) {
        log::debug!("server: failed to set TCP_NODELAY: {err}");
    }
    Some((io, peer))
}

fn spawn_connection(
    service: &ConnectionService,
    table: &Rc<ConnectionTable>,
    (io, peer): (TcpStream, SocketAddr),
    limits: ServerLimits,
    drain: Option<&Drain>,
) {
    let connection = Rc::new(ClientConnection::new(peer.ip(), limits.read));
    let Some(place) = table.enter(connection.clone()) else { return };
    let served = (service.0)((PacedStream::new(io, connection.clone()), Some(peer)));
    let guard = drain.map(|drain| drain.connections.open());
    actix_rt::spawn(async move {
        tokio::select! {
            biased;
            () = connection.closed() => log::debug!("server: closed connection from {peer}"),
            served = served => {
                if let Err(err) = served {
                    log::debug!("server: connection from {peer} failed: {err}");
                }
            }
        }
        drop((place, guard));
    });
}

type Serving =
    std::pin::Pin<Box<dyn Future<Output = Result<(), actix_http::error::DispatchError>>>>;

/// A type-erased service that serves a connection.
struct ConnectionService(Rc<dyn Fn((PacedStream, Option<SocketAddr>)) -> Serving>);

async fn service<H, F>(
    limits: ServerLimits,
    closing: Option<watch::Receiver<bool>>,
    table: Rc<ConnectionTable>,
    handler: H,
) -> ConnectionService
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let answer = fn_service(move |req: Request| {
        let answered = respond(table.clone(), req, handler.clone());
        async move { Ok::<_, Infallible>(answered.await) }
    });
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(limits.idle_timeout))
        .client_request_timeout(limits.head_timeout)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || closed(closing.clone()))
        .on_connect_ext(|io: &PacedStream, ext: &mut Extensions| {
            ext.insert(io.connection().clone());
        })
        .h1(answer);
    let service = match factory.new_service(()).await {
        Ok(service) => Rc::new(service),
        Err(()) => unreachable!("the service factory of a function can't fail"),
    };
    ConnectionService(Rc::new(move |io| {
        let service = service.clone();
        Box::pin(async move { service.call(io).await })
    }))
}

/// Handles a request; its response keeps its memory taken until it has been written.
async fn respond<H, F>(table: Rc<ConnectionTable>, req: Request, handler: H) -> Response<BoxBody>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response<BoxBody>>,
{
    let Some(connection) = ClientConnection::of(&req) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let open_request = connection.begin_request(&req);
    let mut memory = table.memory().hold(connection.client);
    let mut response = handler(req).await;
    if let BodySize::Sized(size) = response.body().size()
        && !table.hold_response(&mut memory, usize::try_from(size).unwrap_or(usize::MAX))
    {
        response = empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    response.map_body(|_, body| BoxBody::new(HeldBody::new(body, memory, open_request)))
}

/// Waits until idle connections are to be closed.
async fn closed(closing: Option<watch::Receiver<bool>>) {
    if let Some(mut closing) = closing
        && closing.wait_for(|is_closing| *is_closing).await.is_ok()
    {
        return;
    }
    std::future::pending().await
}

/// Returns a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::new(status)
}
