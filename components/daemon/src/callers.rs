//! The port for callers.

use std::{sync::Arc, time::Duration};

use actix_web::{App, HttpServer, dev::Server};
use lycheelatch_proxy::{CallerLimits, Proxy, configure};
use lycheelatch_settings::{CallerSettings, StopSettings};

use crate::StartError;

/// Time for which a refused caller's body is still read, so that it gets its answer.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A server on the callers' port, and the address that it got.
pub(crate) fn serve(
    cfg: &CallerSettings,
    stop: &StopSettings,
    proxy: Arc<Proxy>,
) -> Result<(Server, std::net::SocketAddr), StartError> {
    let max_body_bytes = usize::try_from(cfg.max_body_bytes).unwrap_or(usize::MAX);
    let limits = CallerLimits { max_body_bytes };
    let app = move || {
        let proxy = proxy.clone();
        App::new().configure(|app| configure(app, proxy, limits))
    };
    let listen = |source| StartError::Listen { addr: cfg.listen, source };
    let server = HttpServer::new(app)
        .workers(cfg.workers)
        .max_connections(cfg.max_connections)
        .client_request_timeout(cfg.head_timeout)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .shutdown_timeout(stop.notice.as_secs().max(1))
        .disable_signals()
        .bind_auto_h2c(cfg.listen)
        .map_err(listen)?;
    let addr = server.addrs().first().copied().unwrap_or(cfg.listen);
    Ok((server.run(), addr))
}
