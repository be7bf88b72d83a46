//! HTTP client on a plain socket.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::{API_KEY, RESPONSE_TIMEOUT};

/// A response as it was received.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub is_complete: bool,
}

impl Response {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// Returns the text of a request with the usual headers.
pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nLycheelatch-Request-Id: {id}\r\n\
         Lycheelatch-Deadline-Ms: 3000\r\nAuthorization: Bearer {API_KEY}\r\n\
         Content-Length: {length}\r\n{extra}\r\n{body}"
    )
}

/// Returns the headers of a prompt with the given shared parts and a last part of its own.
pub fn prompt_headers(shared: &[u64], own: u64) -> String {
    let shared: String = shared.iter().map(|part| format!("{part:x}:100,")).collect();
    format!(
        "Lycheelatch-Model: m\r\nLycheelatch-Token-Counts: 400,20\r\n\
         Lycheelatch-Prompt-Prefix: {shared}{own:x}:100\r\n"
    )
}

/// Sends a request on a new connection and reads the response.
pub async fn call(to: SocketAddr, method: &str, path: &str, id: &str) -> Response {
    send_raw(to, &request(method, path, id, "", "")).await
}

/// Sends the text of a request on a new connection and reads the response.
pub async fn send_raw(to: SocketAddr, text: &str) -> Response {
    let mut io = TcpStream::connect(to).await.unwrap();
    io.write_all(text.as_bytes()).await.unwrap();
    read_response(&mut io).await.expect("a response")
}

/// Reads one response; returns `None` if the connection is closed before the end of its head.
pub async fn read_response(io: &mut TcpStream) -> Option<Response> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(end) = find(&buf, b"\r\n\r\n") {
            break end + 4;
        }
        if read_more(io, &mut buf).await? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let rest = buf.split_off(end);
    let mut response = Response { status, head, body: Vec::new(), is_complete: false };
    if response.header("transfer-encoding") == Some("chunked") {
        read_chunks(io, rest, &mut response).await;
    } else {
        let length = response.header("content-length").map_or(0, |text| text.parse().unwrap());
        read_sized(io, rest, length, &mut response).await;
    }
    Some(response)
}

async fn read_more(io: &mut TcpStream, buf: &mut Vec<u8>) -> Option<usize> {
    match timeout(RESPONSE_TIMEOUT, io.read_buf(buf)).await.expect("no data within the time limit")
    {
        Ok(n) => Some(n),
        Err(err) if err.kind() == io::ErrorKind::ConnectionReset => None,
        Err(err) => panic!("{err}"),
    }
}

async fn read_sized(io: &mut TcpStream, mut rest: Vec<u8>, length: usize, response: &mut Response) {
    while rest.len() < length {
        if read_more(io, &mut rest).await.unwrap_or(0) == 0 {
            break;
        }
    }
    response.is_complete = rest.len() >= length;
    response.body = rest;
}

async fn read_chunks(io: &mut TcpStream, mut rest: Vec<u8>, response: &mut Response) {
    loop {
        if let Some(line) = find(&rest, b"\r\n") {
            let size = usize::from_str_radix(std::str::from_utf8(&rest[..line]).unwrap(), 16);
            let size = size.unwrap();
            if rest.len() >= line + 2 + size + 2 {
                response.body.extend_from_slice(&rest[line + 2..line + 2 + size]);
                rest.drain(..line + 2 + size + 2);
                if size == 0 {
                    response.is_complete = true;
                    return;
                }
                continue;
            }
        }
        if read_more(io, &mut rest).await.unwrap_or(0) == 0 {
            return;
        }
    }
}

fn find(buf: &[u8], part: &[u8]) -> Option<usize> {
    buf.windows(part.len()).position(|window| window == part)
}

/// Returns whether the peer closes a connection within `limit`.
pub async fn closes_within(io: &mut TcpStream, limit: Duration) -> bool {
    let mut byte = [0; 1];
    matches!(timeout(limit, io.read(&mut byte)).await, Ok(Ok(0) | Err(_)))
}
