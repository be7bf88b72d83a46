//! Connections to upstreams: a caller never receives the response to another request.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::{StreamExt, stream};
use lycheelatch_upstream::{
    HttpPlainService, PlainRequest, PlainService, UpstreamError, UpstreamTimeouts,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};

/// Timeout of calls whose response never arrives.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of calls whose response arrives.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// A server that responds to each path with the path, and with a fault on some paths.
#[derive(Clone)]
struct Server {
    addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    /// Releases a delayed response.
    release: Arc<Notify>,
    /// Notified when a delayed response was written.
    written: Arc<Notify>,
}

impl Server {
    async fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Server {
            addr: listener.local_addr().unwrap(),
            connections: Arc::default(),
            release: Arc::default(),
            written: Arc::default(),
        };
        let accepting = server.clone();
        actix::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                accepting.connections.fetch_add(1, Ordering::Relaxed);
                let server = accepting.clone();
                actix::spawn(async move { server.serve(socket).await });
            }
        });
        server
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    async fn serve(&self, mut socket: TcpStream) {
        while let Some(path) = read_path(&mut socket).await {
            let response = response("", &path);
            let is_closed = match path.as_str() {
                "/late" => self.write_on_release(&mut socket, &response).await,
                "/silent" => {
                    std::future::pending::<()>().await;
                    true
                }
                "/twice" => {
                    write(&mut socket, &format!("{response}{}", unsolicited_response())).await
                }
                "/stray-later" => {
                    write(&mut socket, &response).await
                        || self.write_on_release(&mut socket, &unsolicited_response()).await
                }
                "/wrong-id" => {
                    write(&mut socket, &self::response("x-request-id: other\r\n", &path)).await
                }
                "/half" => write(&mut socket, &response[..response.len() - 3]).await,
                "/head-only" => {
                    let _closed =
                        write(&mut socket, &response[..response.len() - path.len()]).await;
                    true
                }
                "/chunked-closed" => {
                    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                    let _closed = write(&mut socket, &format!("{head}4\r\nhalf\r\n")).await;
                    true
                }
                "/half-closed" => {
                    let _closed = write(&mut socket, &response[..response.len() - 3]).await;
                    true
                }
                _ => write(&mut socket, &response).await,
            };
            if is_closed {
                return;
            }
        }
    }

    async fn write_on_release(&self, socket: &mut TcpStream, text: &str) -> bool {
        self.release.notified().await;
        let is_closed = write(socket, text).await;
        self.written.notify_one();
        is_closed
    }

    async fn release_response(&self) {
        self.release.notify_one();
        self.written.notified().await;
    }

    /// Calls a path and returns the body of the response.
    async fn call(&self, path: &str, limit: Duration) -> Result<String, UpstreamError> {
        let timeouts = UpstreamTimeouts { silence: limit, call: limit };
        let service = HttpPlainService::new(self.addr, timeouts);
        let mut response = service
            .call(PlainRequest {
                id: "r-1".parse().unwrap(),
                method: "GET".into(),
                path: path.into(),
                headers: Vec::new(),
                length: Some(0),
                body: Box::pin(stream::empty()),
                timeout: limit,
            })
            .await?;
        let mut body = Vec::new();
        while let Some(chunk) = response.body.next().await {
            body.extend_from_slice(&chunk?);
        }
        Ok(String::from_utf8(body).unwrap())
    }

    /// Checks that the next call receives its own response, on a new connection.
    async fn check_next(&self) {
        let before = self.connections();
        assert_eq!(self.call("/next", LONG_TIMEOUT).await.as_deref(), Ok("/next"));
        assert_eq!(self.connections(), before + 1, "a connection was reused");
    }
}

fn response(headers: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

fn unsolicited_response() -> String {
    response("", "/of-another")
}

async fn write(socket: &mut TcpStream, text: &str) -> bool {
    socket.write_all(text.as_bytes()).await.is_err()
}

async fn read_path(socket: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    head.split(' ').nth(1).map(str::to_owned)
}

#[actix::test]
async fn connection_without_fault_is_not_reused() {
    let server = Server::start().await;
    assert_eq!(server.call("/first", LONG_TIMEOUT).await.as_deref(), Ok("/first"));
    server.check_next().await;
}

#[actix::test]
async fn connection_with_late_response_is_not_reused() {
    let server = Server::start().await;
    let late = server.call("/late", SHORT_TIMEOUT).await;
    assert!(matches!(late, Err(UpstreamError::Silent { .. })), "{late:?}");
    server.release_response().await;
    server.check_next().await;
}

#[actix::test]
async fn connection_that_times_out_is_replaced() {
    let server = Server::start().await;
    let silent = server.call("/silent", SHORT_TIMEOUT).await;
    assert!(matches!(silent, Err(UpstreamError::Silent { .. })), "{silent:?}");
    server.check_next().await;
}

#[actix::test]
async fn connection_with_excess_bytes_is_not_reused() {
    let server = Server::start().await;
    assert_eq!(server.call("/twice", LONG_TIMEOUT).await.as_deref(), Ok("/twice"));
    server.check_next().await;
}

#[actix::test]
async fn connection_with_unsolicited_response_is_not_reused() {
    let server = Server::start().await;
    assert_eq!(server.call("/stray-later", LONG_TIMEOUT).await.as_deref(), Ok("/stray-later"));
    server.release_response().await;
    server.check_next().await;
}

#[actix::test]
async fn connection_with_response_to_another_request_is_not_reused() {
    let server = Server::start().await;
    let wrong = server.call("/wrong-id", LONG_TIMEOUT).await;
    assert!(matches!(wrong, Err(UpstreamError::WrongRequest { .. })), "{wrong:?}");
    server.check_next().await;
}

#[actix::test]
async fn connection_that_breaks_returns_no_partial_response() {
    let server = Server::start().await;
    let partial = server.call("/half-closed", LONG_TIMEOUT).await;
    assert!(matches!(partial, Err(UpstreamError::Broken { .. })), "{partial:?}");
    let head_only = server.call("/head-only", LONG_TIMEOUT).await;
    assert!(matches!(head_only, Err(UpstreamError::Broken { .. })), "{head_only:?}");
    let chunked = server.call("/chunked-closed", LONG_TIMEOUT).await;
    assert!(matches!(chunked, Err(UpstreamError::Broken { .. })), "{chunked:?}");
    let stalled = server.call("/half", SHORT_TIMEOUT).await;
    assert!(matches!(stalled, Err(UpstreamError::Silent { .. })), "{stalled:?}");
    server.check_next().await;
}

#[actix::test]
async fn connection_of_cancelled_call_is_not_reused() {
    let server = Server::start().await;
    let cancelled = tokio::time::timeout(SHORT_TIMEOUT, server.call("/late", LONG_TIMEOUT)).await;
    assert!(cancelled.is_err());
    server.release_response().await;
    server.check_next().await;
}
