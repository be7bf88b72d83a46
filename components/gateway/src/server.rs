//! HTTP/1 servers that run on the current thread.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode, body::BoxBody};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::{net::TcpListener, sync::watch};

/// Time that a client gets to receive the rest of a response when its connection is closed.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Timeouts of a server's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ServerLimits {
    pub(crate) head_timeout: Duration,
    pub(crate) idle_timeout: Duration,
}

/// Binds a listening socket with `SO_REUSEADDR`.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and passes their requests to `handler`, until the future is dropped.
///
/// Idle connections are closed when `closing` turns true. `limits` is called for each
/// connection, since a new configuration may change the timeouts.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> ServerLimits,
    closing: Option<watch::Receiver<bool>>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let mut current = limits();
    let mut service = service(current, closing.clone(), handler.clone()).await;
    loop {
        let (io, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!("server: failed to accept a connection: {err}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        if let Err(err) = io.set_nodelay(true) {
            log::debug!("server: failed to set TCP_NODELAY: {err}");
        }
        let wanted = limits();
        if wanted != current {
            current = wanted;
            service = self::service(current, closing.clone(), handler.clone()).await;
        }
        let served = service.call((io, Some(peer)));
        actix_rt::spawn(async move {
            if let Err(err) = served.await {
                log::debug!("server: connection from {peer} failed: {err}");
            }
        });
    }
}

type Served = Rc<
    dyn Fn(
        (TcpStream, Option<SocketAddr>),
    )
        -> std::pin::Pin<Box<dyn Future<Output = Result<(), actix_http::error::DispatchError>>>>,
>;

/// A type-erased service that serves a connection.
struct ConnectionService(Served);

impl ConnectionService {
    fn call(
        &self,
        io: (TcpStream, Option<SocketAddr>),
    ) -> std::pin::Pin<Box<dyn Future<Output = Result<(), actix_http::error::DispatchError>>>> {
        (self.0)(io)
    }
}

async fn service<H, F>(
    limits: ServerLimits,
    closing: Option<watch::Receiver<bool>>,
    handler: H,
) -> ConnectionService
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let answer = fn_service(move |req: Request| {
        let answered = handler(req);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(limits.idle_timeout))
        .client_request_timeout(limits.head_timeout)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || closed(closing.clone()))
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
