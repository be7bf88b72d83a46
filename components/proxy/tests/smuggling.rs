//! Requests on the wire that could be read in two ways, and generated ones.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use actix_web::{
    http::header::{HeaderMap, HeaderName, HeaderValue},
    web::block,
};
use common::{Fixture, TOKEN};
use lycheelatch_fakes::{FuzzInputs, serve_plain};
use lycheelatch_proxy::Head;
use tokio::time::Instant;

/// Longest time until a node ends a connection.
const CLOSE_LIMIT: Duration = Duration::from_secs(20);

/// Generated heads.
const HEADS: usize = 10_000;

/// Generated requests on the wire.
const REQUESTS: usize = 300;

/// A request that must not be served.
const HIDDEN: &str = "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n";

/// Sends bytes, closes its own side and returns what comes back.
fn exchange(addr: SocketAddr, sent: &[u8]) -> String {
    let mut socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(CLOSE_LIMIT)).unwrap();
    // The node may have ended the connection after the first bytes.
    let _ = socket.write_all(sent);
    let _ = socket.shutdown(std::net::Shutdown::Write);
    let mut got = Vec::new();
    if let Err(err) = socket.read_to_end(&mut got) {
        assert_eq!(err.kind(), std::io::ErrorKind::ConnectionReset, "the connection stays open");
    }
    String::from_utf8_lossy(&got).into_owned()
}

#[actix_web::test]
async fn request_read_in_two_ways_is_refused() {
    let mut fixture = Fixture::start();
    let application = serve_plain().unwrap();
    fixture.add_plain("a", &application);
    for framing in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: 4\r\nContent-Length: 4",
        "Content-Length: +4",
        "Content-Length: 4,4",
        "Content-Length: 18446744073709551616",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding : chunked",
        "X-Folded: a\r\n Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Host: y\r\nContent-Length: 0",
    ] {
        let sent = format!(
            "POST /services/orders/echo HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\
             {framing}\r\n\r\n0\r\n\r\n{HIDDEN}"
        );
        let addr = fixture.addr;
        let answer = block(move || exchange(addr, sent.as_bytes())).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 400"), "{framing}: {answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{framing}: {answer}");
    }
}

#[actix_web::test]
async fn request_of_http_1_0_in_chunks_is_refused() {
    let fixture = Fixture::start();
    let sent = format!(
        "POST /services/orders/echo HTTP/1.0\r\nConnection: keep-alive\r\n\
         Authorization: Bearer {TOKEN}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{HIDDEN}"
    );
    let addr = fixture.addr;
    let answer = block(move || exchange(addr, sent.as_bytes())).await.unwrap();
    assert!(answer.contains(" 400 "), "{answer}");
    assert_eq!(answer.matches("HTTP/1.").count(), 1, "{answer}");
}

#[actix_web::test]
async fn headers_named_by_connection_do_not_reach_upstreams() {
    let mut fixture = Fixture::start();
    let application = serve_plain().unwrap();
    fixture.add_plain("a", &application);
    let sent = format!(
        "POST /services/orders/echo-headers HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\
         Authorization: Bearer {TOKEN}\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-Mine: 1\r\n\r\n"
    );
    let addr = fixture.addr;
    let answer = block(move || exchange(addr, sent.as_bytes())).await.unwrap();
    assert!(answer.contains("x-mine"), "{answer}");
    assert!(!answer.contains("x-hop"), "{answer}");
}

fn headers(input: &[u8]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for line in input.split(|byte| *byte == b'\n') {
        let mut parts = line.splitn(2, |byte| *byte == b':');
        let name = HeaderName::from_bytes(parts.next().unwrap_or_default());
        let value = HeaderValue::from_bytes(parts.next().unwrap_or_default().trim_ascii());
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

#[actix_web::test]
async fn read_generated_head_never_shows_its_token() {
    let sample = b"authorization: Bearer a-secret\nx-request-id: r-1\n\
        lycheelatch-labels: tier=gold,zone=a\nlycheelatch-timeout-ms: 250\n\
        lycheelatch-attempt: 3\nidempotency-key: order-1\nlast-event-id: 7";
    for input in FuzzInputs::new(vec![sample.to_vec()]).take(HEADS) {
        let headers = headers(&input);
        let head = Head::read(&headers, Instant::now());
        let secret = headers.get("authorization").map(HeaderValue::as_bytes);
        if secret == Some(b"Bearer a-secret") {
            assert!(!format!("{head:?}").contains("a-secret"), "{head:?}");
        }
    }
}

#[actix_web::test]
async fn request_generated_leaves_the_node_serving() {
    let fixture = Fixture::start();
    let sample = format!(
        "POST /services/orders/a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\
         Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
    );
    let addr = fixture.addr;
    let send_all = move || {
        for input in FuzzInputs::new(vec![sample.into()]).take(REQUESTS) {
            exchange(addr, &input);
        }
    };
    block(send_all).await.unwrap();
    let answer = fixture.call("GET", "/v1/models").send().await.unwrap();
    assert!(answer.status().is_success());
}
