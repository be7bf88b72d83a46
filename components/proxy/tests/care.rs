//! Connections to upstreams: a caller gets its own answer or none.

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

/// Longest wait for an answer that never comes.
const SHORT: Duration = Duration::from_millis(100);

/// Longest wait for an answer that comes.
const LONG: Duration = Duration::from_secs(20);

/// A server that answers each path with the path, and misbehaves on some.
#[derive(Clone)]
struct Server {
    addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    /// Lets a held answer go out.
    release: Arc<Notify>,
    /// Told when a held answer has gone out.
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
            let answer = answer("", &path);
            let is_gone = match path.as_str() {
                "/late" => self.write_held(&mut socket, &answer).await,
                "/silent" => {
                    std::future::pending::<()>().await;
                    true
                }
                "/twice" => write(&mut socket, &format!("{answer}{}", stray())).await,
                "/stray-later" => {
                    write(&mut socket, &answer).await
                        || self.write_held(&mut socket, &stray()).await
                }
                "/wrong-id" => {
                    write(&mut socket, &self::answer("x-request-id: other\r\n", &path)).await
                }
                "/half" => write(&mut socket, &answer[..answer.len() - 3]).await,
                "/head-only" => {
                    let _gone = write(&mut socket, &answer[..answer.len() - path.len()]).await;
                    true
                }
                "/chunked-closed" => {
                    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                    let _gone = write(&mut socket, &format!("{head}4\r\nhalf\r\n")).await;
                    true
                }
                "/half-closed" => {
                    let _gone = write(&mut socket, &answer[..answer.len() - 3]).await;
                    true
                }
                _ => write(&mut socket, &answer).await,
            };
            if is_gone {
                return;
            }
        }
    }

    async fn write_held(&self, socket: &mut TcpStream, text: &str) -> bool {
        self.release.notified().await;
        let is_gone = write(socket, text).await;
        self.written.notify_one();
        is_gone
    }

    async fn let_go(&self) {
        self.release.notify_one();
        self.written.notified().await;
    }

    /// Calls a path and returns the body of the answer.
    async fn call(&self, path: &str, limit: Duration) -> Result<String, UpstreamError> {
        let timeouts = UpstreamTimeouts { silence: limit, call: limit };
        let service = HttpPlainService::new(self.addr, timeouts);
        let mut answer = service
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
        while let Some(chunk) = answer.body.next().await {
            body.extend_from_slice(&chunk?);
        }
        Ok(String::from_utf8(body).unwrap())
    }

    /// Checks that the next call has its own answer, on a new connection.
    async fn check_next(&self) {
        let before = self.connections();
        assert_eq!(self.call("/next", LONG).await.as_deref(), Ok("/next"));
        assert_eq!(self.connections(), before + 1, "a doubtful connection was used again");
    }
}

fn answer(headers: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

fn stray() -> String {
    answer("", "/of-another")
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
async fn connection_in_good_order_is_not_used_again_either() {
    let server = Server::start().await;
    assert_eq!(server.call("/first", LONG).await.as_deref(), Ok("/first"));
    server.check_next().await;
}

#[actix::test]
async fn connection_with_a_late_answer_is_not_used_again() {
    let server = Server::start().await;
    let late = server.call("/late", SHORT).await;
    assert!(matches!(late, Err(UpstreamError::Silent { .. })), "{late:?}");
    server.let_go().await;
    server.check_next().await;
}

#[actix::test]
async fn connection_that_is_silent_is_replaced() {
    let server = Server::start().await;
    let silent = server.call("/silent", SHORT).await;
    assert!(matches!(silent, Err(UpstreamError::Silent { .. })), "{silent:?}");
    server.check_next().await;
}

#[actix::test]
async fn connection_with_excess_bytes_is_not_used_again() {
    let server = Server::start().await;
    assert_eq!(server.call("/twice", LONG).await.as_deref(), Ok("/twice"));
    server.check_next().await;
}

#[actix::test]
async fn connection_with_a_stray_answer_is_not_used_again() {
    let server = Server::start().await;
    assert_eq!(server.call("/stray-later", LONG).await.as_deref(), Ok("/stray-later"));
    server.let_go().await;
    server.check_next().await;
}

#[actix::test]
async fn connection_with_another_requests_answer_is_not_used_again() {
    let server = Server::start().await;
    let wrong = server.call("/wrong-id", LONG).await;
    assert!(matches!(wrong, Err(UpstreamError::WrongRequest { .. })), "{wrong:?}");
    server.check_next().await;
}

#[actix::test]
async fn connection_that_breaks_midway_has_no_whole_answer() {
    let server = Server::start().await;
    let half = server.call("/half-closed", LONG).await;
    assert!(matches!(half, Err(UpstreamError::Broken { .. })), "{half:?}");
    let headless = server.call("/head-only", LONG).await;
    assert!(matches!(headless, Err(UpstreamError::Broken { .. })), "{headless:?}");
    let chunked = server.call("/chunked-closed", LONG).await;
    assert!(matches!(chunked, Err(UpstreamError::Broken { .. })), "{chunked:?}");
    let stalled = server.call("/half", SHORT).await;
    assert!(matches!(stalled, Err(UpstreamError::Silent { .. })), "{stalled:?}");
    server.check_next().await;
}

#[actix::test]
async fn connection_of_a_cancelled_call_is_not_used_again() {
    let server = Server::start().await;
    let cancelled = tokio::time::timeout(SHORT, server.call("/late", LONG)).await;
    assert!(cancelled.is_err());
    server.let_go().await;
    server.check_next().await;
}
