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
        // HTTP/1.1 alone: telling it from HTTP/2 waits for the first bytes without a time limit.
        .bind(cfg.listen)
        .map_err(listen)?;
    let addr = server.addrs().first().copied().unwrap_or(cfg.listen);
    Ok((server.run(), addr))
}

#[cfg(test)]
mod tests {
    use std::{
        io::{Read, Write},
        net::TcpStream,
    };

    use lycheelatch_claims::{Claims, ClaimsConfig};
    use lycheelatch_config::Snapshot;
    use lycheelatch_fakes::MemoryKv;
    use lycheelatch_proxy::{
        AdmitInFlight, HttpConnect, LeastInFlight, ProxyMetrics, ProxyParts, Registry, RetryFixed,
    };

    use super::*;

    /// Time within which a connection that sends no whole head must be ended.
    const CLOSE_LIMIT: Duration = Duration::from_secs(20);

    fn proxy() -> Arc<Proxy> {
        let registry = Arc::new(Registry::new(Arc::new(HttpConnect)));
        let config: Arc<Snapshot> = Arc::default();
        Arc::new(Proxy::new(ProxyParts {
            config: Arc::new(move || config.clone()),
            registry: registry.clone(),
            claims: Arc::new(Claims::new(Arc::new(MemoryKv::new()), ClaimsConfig::default())),
            admit: Arc::new(AdmitInFlight::new(registry.clone())),
            place: Arc::new(LeastInFlight::new(registry)),
            retry: Arc::new(RetryFixed),
            metrics: ProxyMetrics::new(&prometheus::Registry::new()).unwrap(),
            max_buffered_response_bytes: 1 << 20,
        }))
    }

    fn start() -> std::net::SocketAddr {
        let cfg = CallerSettings {
            listen: ([127, 0, 0, 1], 0).into(),
            workers: 1,
            max_connections: 16,
            head_timeout: Duration::from_millis(200),
            max_body_bytes: 1024,
            max_kept_answer_bytes: 1024,
        };
        let stop = StopSettings { notice: Duration::from_secs(1) };
        let (server, addr) = serve(&cfg, &stop, proxy()).unwrap();
        actix_web::rt::spawn(server);
        addr
    }

    /// Sends the start of a head and returns whether the node then ends the connection.
    fn is_ended(addr: std::net::SocketAddr, start: &[u8]) -> bool {
        let mut socket = TcpStream::connect(addr).unwrap();
        socket.set_read_timeout(Some(CLOSE_LIMIT)).unwrap();
        socket.write_all(start).unwrap();
        match socket.read_to_end(&mut Vec::new()) {
            Ok(_) => true,
            Err(err) => err.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    #[actix_web::test]
    async fn serve_ends_connections_without_a_whole_head() {
        let addr = start();
        for sent in ["", "P", "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-A: ", "PRI * HTTP/2.0\r\n"] {
            let ended = actix_web::web::block(move || is_ended(addr, sent.as_bytes()));
            assert!(ended.await.unwrap(), "the connection stays open after {sent:?}");
        }
    }
}
