//! HTTP server on a loopback port that the operating system assigns.

use std::{io, net::SocketAddr};

use actix_web::{App, HttpServer, dev::ServerHandle, rt, web};

/// Handle to a running server.
#[derive(Clone)]
pub struct HttpServerHandle {
    addr: SocketAddr,
    handle: ServerHandle,
}

impl HttpServerHandle {
    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the server and closes its connections without a graceful shutdown.
    pub async fn kill(&self) {
        self.handle.stop(false).await;
    }
}

/// Starts a server with one worker thread.
pub(crate) fn serve<F>(configure: F) -> io::Result<HttpServerHandle>
where
    F: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
{
    let app = move || App::new().configure(configure.clone());
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .shutdown_timeout(0)
        .bind(("127.0.0.1", 0))?;
    let addr = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    rt::spawn(server);
    Ok(HttpServerHandle { addr, handle })
}
