//! A runner that answers each request as a script says.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

use super::any_port;

/// What a runner does with one request.
#[derive(Debug, Clone)]
pub enum Behavior {
    /// Answers whole, with a signature.
    Respond(u16, String),
    /// Answers with a body that ends with the connection.
    CloseDelimited(String),
    /// Answers with a body that ends with the connection, and resets it.
    CloseDelimitedReset(String),
    /// Resets the connection without an answer.
    Reset,
    /// Says that the request did not run.
    NotExecuted(u16),
    /// First answers an earlier request, then this one.
    StaleResponseFirst(String),
    /// Answers, with the request's id for an empty text, then once more unasked.
    ExtraResponse(String),
    /// Answers without a signature.
    Unsigned,
    /// Sends events with these ids, and ends the stream.
    Events(Vec<u64>),
    /// Sends events with these ids and half of another one, and resets the connection.
    TruncatedEvents(Vec<u64>),
    /// Begins as [`Behavior::Echo`], and resets the connection within the second event.
    TruncatedEcho,
    /// Never answers.
    Hang,
    /// Begins after 1.1 s, then goes on as [`Behavior::Echo`].
    DelayedEcho,
    /// Answers with the request's id, or with events that name it, after the last one.
    Echo,
}

/// Time after which [`Behavior::DelayedEcho`] begins.
const LATE: Duration = Duration::from_millis(1100);

/// Events of an answer of [`Behavior::Echo`].
pub const ECHO_EVENTS: u64 = 6;

/// Pause between two events of [`Behavior::Echo`].
const ECHO_EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// A request as a runner saw it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Request line and headers.
    pub head: String,
    /// Body.
    pub body: String,
}

impl ReceivedRequest {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

#[derive(Default)]
struct State {
    script: VecDeque<Behavior>,
    default: Option<Behavior>,
    seen: Vec<ReceivedRequest>,
    ran: Vec<ExecutedRequest>,
    dropped: u32,
}

/// A request that a runner began to run.
#[derive(Debug, Clone)]
pub struct ExecutedRequest {
    /// Its id.
    pub id: String,
    /// When it came.
    pub at: Instant,
}

/// A runner that answers each request as a script says; without one, with `ok`.
#[derive(Clone)]
pub struct ScriptedUpstream {
    address: SocketAddr,
    state: Rc<RefCell<State>>,
}

impl ScriptedUpstream {
    /// Starts a runner on loopback.
    pub async fn start(script: impl IntoIterator<Item = Behavior>) -> ScriptedUpstream {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(RefCell::new(State {
            script: script.into_iter().collect(),
            ..State::default()
        }));
        let runner = ScriptedUpstream { address, state };
        let accepting = runner.clone();
        actix_rt::spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                let runner = accepting.clone();
                actix_rt::spawn(async move { runner.serve(io).await });
            }
        });
        runner
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what is done with requests beyond the script.
    pub fn set_default(&self, act: Behavior) {
        self.state.borrow_mut().default = Some(act);
    }

    /// Adds to the script.
    pub fn push(&self, act: Behavior) {
        self.state.borrow_mut().script.push_back(act);
    }

    /// Returns the requests that began to run.
    pub fn executed(&self) -> Vec<ExecutedRequest> {
        self.state.borrow().ran.clone()
    }

    /// Returns the requests that came.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.borrow().seen.clone()
    }

    /// Returns how many connections the other side closed while a request hung.
    pub fn disconnects(&self) -> u32 {
        self.state.borrow().dropped
    }

    async fn serve(&self, mut io: TcpStream) {
        while let Some(seen) = read_request(&mut io).await {
            let id = seen.header("lycheelatch-request-id").unwrap_or("none").to_owned();
            let act = {
                let mut state = self.state.borrow_mut();
                let default =
                    state.default.clone().unwrap_or(Behavior::Respond(200, "ok".to_owned()));
                let act = state.script.pop_front().unwrap_or(default);
                if !matches!(act, Behavior::NotExecuted(_)) {
                    state.ran.push(ExecutedRequest { id: id.clone(), at: Instant::now() });
                }
                state.seen.push(seen.clone());
                act
            };
            if matches!(act, Behavior::DelayedEcho) {
                sleep(LATE).await;
            }
            if matches!(act, Behavior::Echo | Behavior::DelayedEcho) {
                if !answer_by_itself(&mut io, &seen, &id).await {
                    return;
                }
                continue;
            }
            if !self.act(&mut io, act, &id).await {
                return;
            }
        }
    }

    /// Returns whether the connection goes on.
    async fn act(&self, io: &mut TcpStream, act: Behavior, id: &str) -> bool {
        match act {
            Behavior::Respond(status, body) => {
                write(io, &answer(status, id, SIGNATURE, &body)).await;
                true
            }
            Behavior::CloseDelimited(body) => {
                write(io, &unframed(id, &body)).await;
                false
            }
            Behavior::CloseDelimitedReset(body) => {
                write(io, &unframed(id, &body)).await;
                sleep(Duration::from_millis(30)).await;
                reset(io);
                false
            }
            Behavior::Reset => {
                reset(io);
                false
            }
            Behavior::NotExecuted(status) => {
                write(io, &answer(status, id, "Lycheelatch-Not-Executed: 1\r\n", "")).await;
                true
            }
            Behavior::StaleResponseFirst(body) => {
                write(io, &answer(200, "another", SIGNATURE, "not yours")).await;
                write(io, &answer(200, id, SIGNATURE, &body)).await;
                true
            }
            Behavior::ExtraResponse(body) => {
                let body = if body.is_empty() { id.to_owned() } else { body };
                write(io, &answer(200, id, SIGNATURE, &body)).await;
                write(io, &answer(200, id, SIGNATURE, "again")).await;
                true
            }
            Behavior::Unsigned => {
                write(io, &answer(200, id, "", "whose is this")).await;
                true
            }
            Behavior::Events(ids) => {
                write(io, &events(id, &ids)).await;
                write(io, "0\r\n\r\n").await;
                true
            }
            Behavior::TruncatedEvents(ids) => {
                write(io, &events(id, &ids)).await;
                write(io, "8\r\nid: 99\nd\r\n").await;
                sleep(Duration::from_millis(30)).await;
                reset(io);
                false
            }
            Behavior::Echo | Behavior::DelayedEcho => true,
            Behavior::TruncatedEcho => {
                let event = echo_event(id, 1);
                let chunk = format!("{:x}\r\n{event}\r\n8\r\nid: 99\nd\r\n", event.len());
                write(io, &format!("{}{chunk}", events(id, &[]))).await;
                sleep(Duration::from_millis(30)).await;
                reset(io);
                false
            }
            Behavior::Hang => {
                let mut byte = [0; 1];
                if let Ok(0) | Err(_) = io.read(&mut byte).await {
                    self.state.borrow_mut().dropped += 1;
                }
                false
            }
        }
    }
}

const SIGNATURE: &str = "Lycheelatch-Server-Signature: s.1\r\n";

fn answer(status: u16, id: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nLycheelatch-Request-Id: {id}\r\n{headers}\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

fn unframed(id: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nLycheelatch-Request-Id: {id}\r\n{SIGNATURE}\r\n{body}")
}

fn events(id: &str, ids: &[u64]) -> String {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nLycheelatch-Request-Id: {id}\r\n{SIGNATURE}\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for id in ids {
        let event = format!("id: {id}\ndata: e{id}\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    text
}

/// Returns the text of one event of [`Behavior::Echo`].
pub fn echo_event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}-{number}\n\n")
}

/// Answers as [`Behavior::Echo`] does; returns whether the connection goes on.
async fn answer_by_itself(io: &mut TcpStream, seen: &ReceivedRequest, id: &str) -> bool {
    let path = seen.head.split(' ').nth(1).unwrap_or_default();
    if !path.starts_with("/stream/") && !path.starts_with("/resume/") {
        return io.write_all(answer(200, id, SIGNATURE, id).as_bytes()).await.is_ok();
    }
    let after = seen.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    if io.write_all(events(id, &[]).as_bytes()).await.is_err() {
        return false;
    }
    for number in after + 1..=ECHO_EVENTS {
        sleep(ECHO_EVENT_INTERVAL).await;
        let event = echo_event(id, number);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if io.write_all(chunk.as_bytes()).await.is_err() {
            return false;
        }
    }
    io.write_all(b"0\r\n\r\n").await.is_ok()
}

async fn write(io: &mut TcpStream, text: &str) {
    // The other side may have closed the connection, which some tests are about.
    let _closed = io.write_all(text.as_bytes()).await;
}

fn reset(io: &TcpStream) {
    socket2::SockRef::from(io).set_linger(Some(Duration::ZERO)).unwrap();
}

async fn read_request(io: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if io.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut seen = ReceivedRequest { head, body: String::new() };
    let length: usize = seen.header("content-length").map_or(0, |text| text.parse().unwrap());
    while buf.len() < end + length {
        if io.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    seen.body = String::from_utf8_lossy(&buf[end..end + length]).into_owned();
    Some(seen)
}
