//! Starts an HTTP server on a port that the operating system picks.

use std::{io, net::SocketAddr};

use actix_web::{App, HttpServer, dev::ServerHandle, rt, web};

/// A running server.
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

    /// Ends the server and its connections at once.
    pub async fn kill(&self) {
        self.handle.stop(false).await;
    }
}

/// Serves on one thread of its own.
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
