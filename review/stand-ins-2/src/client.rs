//! A client that reads a stream, event by event.

use std::{net::SocketAddr, time::Duration};

use lycheelatch_fakes::entry::request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout_at},
};

use crate::record::Record;

/// What a client has of one attempt.
#[derive(Debug, Clone, Default)]
pub struct Attempt {
    pub id: String,
    pub status: Option<u16>,
    pub retry_after: Option<Duration>,
    /// Number and text of each event.
    pub events: Vec<(u64, String)>,
    /// Whether the answer came to its end.
    pub is_complete: bool,
    pub end: String,
}

impl Attempt {
    pub fn last_event(&self) -> Option<u64> {
        self.events.last().map(|(number, _)| *number)
    }
}

pub fn new_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Sends one attempt to a node and reads its answer until `deadline`.
pub async fn attempt(
    to: SocketAddr,
    path: &str,
    extra: &str,
    deadline: Instant,
    record: &Record,
) -> Attempt {
    attempt_until(to, path, extra, deadline, deadline, record).await
}

/// Does the same, but the connection breaks at `broken_at`, if that is earlier.
pub async fn attempt_until(
    to: SocketAddr,
    path: &str,
    extra: &str,
    deadline: Instant,
    broken_at: Instant,
    record: &Record,
) -> Attempt {
    let id = new_id();
    let left = deadline.saturating_duration_since(Instant::now()).as_millis();
    let text = request("POST", path, &id, extra, "");
    let text = text.replacen("-Ms: 3000", &format!("-Ms: {left}"), 1);
    let mut attempt = Attempt { id: id.clone(), ..Attempt::default() };
    let shown = extra.trim_end().replace("\r\n", ", ");
    record.line(&format!("client sends {id} to {to}{path} ({shown})"));
    let reading = read(to, &text, &mut attempt);
    let end = match timeout_at(deadline.min(broken_at), reading).await {
        Ok(end) => end,
        Err(_) if broken_at < deadline => "its connection broke".to_owned(),
        Err(_) => "the client's deadline".to_owned(),
    };
    attempt.end = end;
    record.line(&format!(
        "client has of {id}: status {:?}, {} events up to {:?}, {}: {}",
        attempt.status,
        attempt.events.len(),
        attempt.last_event(),
        if attempt.is_complete { "complete" } else { "not complete" },
        attempt.end
    ));
    attempt
}

async fn read(to: SocketAddr, text: &str, attempt: &mut Attempt) -> String {
    let mut io = match TcpStream::connect(to).await {
        Ok(io) => io,
        Err(err) => return format!("no connection: {err}"),
    };
    if let Err(err) = io.write_all(text.as_bytes()).await {
        return format!("not sent: {err}");
    }
    let mut buf = Vec::new();
    let end = loop {
        if let Some(at) = find(&buf, b"\r\n\r\n") {
            break at + 4;
        }
        match io.read_buf(&mut buf).await {
            Ok(0) => return "closed before the answer".to_owned(),
            Ok(_) => {}
            Err(err) => return format!("cut before the answer: {err}"),
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    attempt.status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    attempt.retry_after = header(&head, "retry-after")
        .and_then(|text| text.parse::<f64>().ok())
        .map(Duration::from_secs_f64);
    let mut body = buf.split_off(end);
    if header(&head, "transfer-encoding") != Some("chunked") {
        let length = header(&head, "content-length").and_then(|text| text.parse().ok());
        while body.len() < length.unwrap_or(0) {
            match io.read_buf(&mut body).await {
                Ok(0) => return "closed within the answer".to_owned(),
                Ok(_) => {}
                Err(err) => return format!("cut within the answer: {err}"),
            }
        }
        attempt.is_complete = true;
        return "whole".to_owned();
    }
    let mut events = Vec::new();
    loop {
        while let Some((chunk, used)) = next_chunk(&body) {
            if chunk.is_empty() {
                attempt.is_complete = true;
                return "whole".to_owned();
            }
            events.extend_from_slice(&chunk);
            body.drain(..used);
            take_events(&mut events, attempt);
        }
        match io.read_buf(&mut body).await {
            Ok(0) => return "closed within the stream".to_owned(),
            Ok(_) => {}
            Err(err) => return format!("cut within the stream: {err}"),
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

fn find(buf: &[u8], part: &[u8]) -> Option<usize> {
    buf.windows(part.len()).position(|window| window == part)
}

/// Returns the first chunk, and how many bytes it takes with its framing.
fn next_chunk(body: &[u8]) -> Option<(Vec<u8>, usize)> {
    let line = find(body, b"\r\n")?;
    let size = usize::from_str_radix(std::str::from_utf8(&body[..line]).ok()?, 16).ok()?;
    let used = line + 2 + size + 2;
    (body.len() >= used).then(|| (body[line + 2..line + 2 + size].to_vec(), used))
}

fn take_events(buf: &mut Vec<u8>, attempt: &mut Attempt) {
    while let Some(end) = find(buf, b"\n\n") {
        let text: Vec<u8> = buf.drain(..end + 2).collect();
        let text = String::from_utf8_lossy(&text).into_owned();
        let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
        let number = field("id: ").and_then(|text| text.parse().ok());
        if let (Some(number), Some(data)) = (number, field("data: ")) {
            attempt.events.push((number, data.to_owned()));
        }
    }
}
