//! Request smuggling: requests with ambiguous framing, and generated requests.

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

/// Time limit for a node to close a connection.
const CLOSE_LIMIT: Duration = Duration::from_secs(20);

/// Number of generated request heads.
const HEADS: usize = 10_000;

/// Number of generated requests.
const REQUESTS: usize = 300;

/// A request after the end of another request, which must not be served.
const SMUGGLED: &str = "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n";

/// Sends bytes, closes the sending side and returns the bytes received.
fn exchange(addr: SocketAddr, sent: &[u8]) -> String {
    let mut socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(CLOSE_LIMIT)).unwrap();
    // The node may close the connection after the first bytes.
    let _ = socket.write_all(sent);
    let _ = socket.shutdown(std::net::Shutdown::Write);
    let mut got = Vec::new();
    if let Err(err) = socket.read_to_end(&mut got) {
        assert_eq!(
            err.kind(),
            std::io::ErrorKind::ConnectionReset,
            "the connection was not closed in time"
        );
    }
    String::from_utf8_lossy(&got).into_owned()
}

#[actix_web::test]
async fn request_with_ambiguous_framing_is_refused() {
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
             {framing}\r\n\r\n0\r\n\r\n{SMUGGLED}"
        );
        let addr = fixture.addr;
        let response = block(move || exchange(addr, sent.as_bytes())).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 400"), "{framing}: {response}");
        assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{framing}: {response}");
    }
}

#[actix_web::test]
async fn request_of_http_1_0_with_chunked_body_is_refused() {
    let fixture = Fixture::start();
    let sent = format!(
        "POST /services/orders/echo HTTP/1.0\r\nConnection: keep-alive\r\n\
         Authorization: Bearer {TOKEN}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{SMUGGLED}"
    );
    let addr = fixture.addr;
    let response = block(move || exchange(addr, sent.as_bytes())).await.unwrap();
    assert!(response.contains(" 400 "), "{response}");
    assert_eq!(response.matches("HTTP/1.").count(), 1, "{response}");
}

#[actix_web::test]
async fn headers_listed_in_connection_are_not_forwarded() {
    let mut fixture = Fixture::start();
    let application = serve_plain().unwrap();
    fixture.add_plain("a", &application);
    let sent = format!(
        "POST /services/orders/echo-headers HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\
         Authorization: Bearer {TOKEN}\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-Mine: 1\r\n\r\n"
    );
    let addr = fixture.addr;
    let response = block(move || exchange(addr, sent.as_bytes())).await.unwrap();
    assert!(response.contains("x-mine"), "{response}");
    assert!(!response.contains("x-hop"), "{response}");
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
async fn read_generated_head_hides_token_in_debug() {
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
async fn request_generated_does_not_stop_node() {
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
    let response = fixture.call("GET", "/v1/models").send().await.unwrap();
    assert!(response.status().is_success());
}
