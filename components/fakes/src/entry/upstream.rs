//! Upstream that handles each request as scripted.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

use super::{
    any_port,
    behavior::Behavior,
    crash::{Crash, CrashEnd, CrashRule, TaskSet, holds_shared_part},
    process::{end_process, report_execution},
    response_text::{
        SIGNATURE, close_delimited, echo_event, event, event_stream_head, events, response,
    },
};

/// Delay of [`Behavior::DelayedEcho`].
const ECHO_DELAY: Duration = Duration::from_millis(1100);

/// Number of events in a stream of [`Behavior::Echo`].
pub const ECHO_EVENTS: u64 = 6;

/// Size of the blocks in which text without end is written, in bytes.
const ENDLESS_BLOCK_BYTES: usize = 16 * 1024;

/// Interval between two writes of a response that is sent a byte now and then.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);

/// Time between the head of a response and the crash that its request causes.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Interval between two events of [`Behavior::Echo`].
const ECHO_EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// A request as an upstream received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Request line and headers.
    pub head: String,
    /// Body.
    pub body: String,
}

impl ReceivedRequest {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// How a request is handled by what it holds; `None` leaves it to the script.
type Choice = Rc<dyn Fn(&ReceivedRequest) -> Option<Behavior>>;

#[derive(Default)]
struct State {
    script: VecDeque<Behavior>,
    default: Option<Behavior>,
    choice: Option<Choice>,
    received: Vec<ReceivedRequest>,
    executed: Vec<ExecutedRequest>,
    disconnects: u32,
    endless_bytes: usize,
    crash_rule: Option<CrashRule>,
    crashes: Vec<Crash>,
    limit: Option<String>,
    is_leaving: bool,
    /// Name of the instance; requests that name another one are not executed.
    instance: Option<String>,
}

impl State {
    fn next_behavior(&mut self) -> Behavior {
        let default = self.default.clone().unwrap_or(Behavior::Respond(200, "ok".to_owned()));
        self.script.pop_front().unwrap_or(default)
    }
}

/// A request that an upstream started to execute.
#[derive(Debug, Clone)]
pub struct ExecutedRequest {
    /// Request ID.
    pub id: String,
    /// When the request was received.
    pub at: Instant,
}

/// Upstream that handles each request as scripted, and responds with `ok` by default.
///
/// Clones share their state.
#[derive(Clone)]
pub struct ScriptedUpstream {
    address: SocketAddr,
    state: Rc<RefCell<State>>,
    /// The listener and the open connections.
    tasks: Rc<TaskSet>,
}

impl ScriptedUpstream {
    /// Starts an upstream on loopback.
    pub async fn start(script: impl IntoIterator<Item = Behavior>) -> ScriptedUpstream {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        ScriptedUpstream::with_listener(listener, script)
    }

    /// Starts an upstream with a given listener.
    pub(super) fn with_listener(
        listener: TcpListener,
        script: impl IntoIterator<Item = Behavior>,
    ) -> ScriptedUpstream {
        let address = listener.local_addr().unwrap();
        let state = Rc::new(RefCell::new(State {
            script: script.into_iter().collect(),
            ..State::default()
        }));
        let upstream = ScriptedUpstream { address, state, tasks: Rc::default() };
        upstream.accept_from(listener);
        upstream
    }

    fn accept_from(&self, listener: TcpListener) {
        let upstream = self.clone();
        self.tasks.spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                let serving = upstream.clone();
                upstream.tasks.spawn(async move { serving.serve(io).await });
            }
        });
    }

    /// Sets on which requests the upstream crashes.
    pub fn set_crash_rule(&self, rule: Option<CrashRule>) {
        self.state.borrow_mut().crash_rule = rule;
    }

    /// Sets the limit that the upstream names in its complete responses and streams.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.state.borrow_mut().limit = limit.map(str::to_owned);
    }

    /// Sets whether the upstream says in its complete responses and streams that it leaves.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.state.borrow_mut().is_leaving = is_leaving;
    }

    /// Sets the instance's name; requests that expect another one are answered with status 421.
    pub fn set_instance(&self, name: &str) {
        self.state.borrow_mut().instance = Some(name.to_owned());
    }

    /// Returns whether a request expects an instance with another name.
    fn is_misdirected(&self, req: &ReceivedRequest) -> bool {
        let state = self.state.borrow();
        let expected = req.header("lycheelatch-expect-instance");
        state.instance.as_deref().is_some_and(|name| expected != Some(name))
    }

    /// Returns the headers of responses to requests that ran.
    fn response_headers(&self) -> String {
        let state = self.state.borrow();
        let limit = state.limit.as_ref().map(|limit| format!("Server-Limit: {limit}\r\n"));
        let leaving = if state.is_leaving { "Server-Leaving: 1\r\n" } else { "" };
        format!("{SIGNATURE}{}{leaving}", limit.unwrap_or_default())
    }

    /// Returns the requests on which the upstream crashed.
    pub fn crashes(&self) -> Vec<Crash> {
        self.state.borrow().crashes.clone()
    }

    /// Closes the listener and all connections, and listens again after `down`.
    pub fn crash(&self, down: Duration) {
        self.tasks.abort_all();
        let upstream = self.clone();
        actix_rt::spawn(async move {
            sleep(down).await;
            let listener = TcpListener::bind(upstream.address).await.expect("the port is free");
            upstream.accept_from(listener);
        });
    }

    /// Crashes if the request is one that crashes the upstream; returns whether it is.
    async fn crash_on(&self, io: &mut TcpStream, req: &ReceivedRequest, id: &str) -> bool {
        let rule = self.state.borrow().crash_rule;
        let Some(rule) = rule.filter(|rule| holds_shared_part(req, rule.part)) else {
            return false;
        };
        write(io, &rule.point.text(id)).await;
        sleep(CRASH_DELAY).await;
        if let CrashEnd::Signal(signal) = rule.end {
            end_process(signal, id);
        }
        let crash = Crash { request: id.to_owned(), at: Instant::now() };
        self.state.borrow_mut().crashes.push(crash);
        self.crash(rule.down);
        true
    }

    /// Returns the address that the upstream listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how requests after the end of the script are handled.
    pub fn set_default(&self, behavior: Behavior) {
        self.state.borrow_mut().default = Some(behavior);
    }

    /// Sets how some requests are handled by what they hold, whichever upstream they come to; `None`
    /// leaves a request to the script.
    pub fn set_choice(&self, choice: impl Fn(&ReceivedRequest) -> Option<Behavior> + 'static) {
        self.state.borrow_mut().choice = Some(Rc::new(choice));
    }

    /// Appends the handling of one request to the script.
    pub fn push(&self, behavior: Behavior) {
        self.state.borrow_mut().script.push_back(behavior);
    }

    /// Returns the requests whose execution started.
    pub fn executed(&self) -> Vec<ExecutedRequest> {
        self.state.borrow().executed.clone()
    }

    /// Returns the received requests.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.borrow().received.clone()
    }

    /// Returns how many connections the peer closed during [`Behavior::Hang`] or a response without
    /// end.
    pub fn disconnects(&self) -> u32 {
        self.state.borrow().disconnects
    }

    /// Returns how many bytes of responses without end the peers took.
    pub fn endless_bytes(&self) -> usize {
        self.state.borrow().endless_bytes
    }

    /// Sends bytes as fast as the peer takes them, until it closes the connection.
    async fn write_endlessly(&self, io: &mut TcpStream, repeated: &str) {
        let block = repeated.repeat((ENDLESS_BLOCK_BYTES / repeated.len()).max(1));
        while let Ok(written) = io.write(block.as_bytes()).await {
            self.state.borrow_mut().endless_bytes += written;
        }
        self.state.borrow_mut().disconnects += 1;
    }

    async fn serve(&self, mut io: TcpStream) {
        while let Some(req) = read_request(&mut io).await {
            let id = req.header("lycheelatch-request-id").unwrap_or("none").to_owned();
            let is_misdirected = self.is_misdirected(&req);
            let choice = self.state.borrow().choice.clone();
            let chosen = choice.and_then(|choice| choice(&req));
            let behavior = {
                let mut state = self.state.borrow_mut();
                let scripted = chosen.unwrap_or_else(|| state.next_behavior());
                let behavior = if is_misdirected { Behavior::NotExecuted(421) } else { scripted };
                if !matches!(behavior, Behavior::NotExecuted(_)) {
                    state.executed.push(ExecutedRequest { id: id.clone(), at: Instant::now() });
                    report_execution(&id);
                }
                state.received.push(req.clone());
                behavior
            };
            if self.crash_on(&mut io, &req, &id).await {
                return;
            }
            if matches!(behavior, Behavior::DelayedEcho) {
                sleep(ECHO_DELAY).await;
            }
            if matches!(behavior, Behavior::Echo | Behavior::DelayedEcho) {
                if !echo(&mut io, &req, &id, &self.response_headers()).await {
                    return;
                }
                continue;
            }
            if !self.handle(&mut io, behavior, &id).await {
                return;
            }
        }
    }

    /// Handles one request; returns whether the connection stays open.
    async fn handle(&self, io: &mut TcpStream, behavior: Behavior, id: &str) -> bool {
        match behavior {
            Behavior::Respond(status, body) => {
                write(io, &response(status, id, &self.response_headers(), &body)).await;
                true
            }
            Behavior::RespondWith { status, headers, body } => {
                write(io, &response(status, id, &headers, &body)).await;
                true
            }
            Behavior::Cut(start) => {
                write(io, &start.replace("{id}", id)).await;
                sleep(Duration::from_millis(30)).await;
                reset(io);
                false
            }
            Behavior::CloseDelimited(body) => {
                write(io, &close_delimited(id, &body)).await;
                false
            }
            Behavior::CloseDelimitedReset(body) => {
                // Set first, so that a crash meanwhile resets the connection too.
                reset(io);
                write(io, &close_delimited(id, &body)).await;
                sleep(Duration::from_millis(30)).await;
                false
            }
            Behavior::Reset => {
                reset(io);
                false
            }
            Behavior::NotExecuted(status) => {
                write(io, &response(status, id, "Lycheelatch-Not-Executed: 1\r\n", "")).await;
                true
            }
            Behavior::StaleResponseFirst(body) => {
                write(io, &response(200, "another", SIGNATURE, "not yours")).await;
                write(io, &response(200, id, SIGNATURE, &body)).await;
                true
            }
            Behavior::ExtraResponse(body) => {
                let body = if body.is_empty() { id.to_owned() } else { body };
                write(io, &response(200, id, SIGNATURE, &body)).await;
                write(io, &response(200, id, SIGNATURE, "again")).await;
                true
            }
            Behavior::Unsigned => {
                write(io, &response(200, id, "", "whose is this")).await;
                true
            }
            Behavior::Events(ids) => {
                write(io, &events(id, &ids)).await;
                write(io, "0\r\n\r\n").await;
                true
            }
            Behavior::CloseDelimitedEvents(ids, tail) => {
                let events = ids.iter().map(|id| event(*id));
                write(io, &close_delimited(id, &events.chain([tail]).collect::<String>())).await;
                false
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
            Behavior::Endless { start, repeated } => {
                write(io, &start.replace("{id}", id)).await;
                self.write_endlessly(io, &repeated).await;
                false
            }
            Behavior::StallingEvents(ids) => {
                write(io, &events(id, &ids)).await;
                trickle(io, "1\r\nd\r\n").await;
                false
            }
            Behavior::EndlessRefusal => {
                let headers = "Lycheelatch-Not-Executed: 1\r\nContent-Length: 100000\r\n";
                write(io, &format!("HTTP/1.1 503 X\r\nLycheelatch-Request-Id: {id}\r\n")).await;
                write(io, &format!("{headers}\r\n")).await;
                trickle(io, "x").await;
                false
            }
            Behavior::Hang => {
                let mut byte = [0; 1];
                if let Ok(0) | Err(_) = io.read(&mut byte).await {
                    self.state.borrow_mut().disconnects += 1;
                }
                false
            }
        }
    }
}

/// Sends `text` now and then until the peer closes the connection.
async fn trickle(io: &mut TcpStream, text: &str) {
    while io.write_all(text.as_bytes()).await.is_ok() {
        sleep(TRICKLE_INTERVAL).await;
    }
}

/// Handles a request as [`Behavior::Echo`]; returns whether the connection stays open.
async fn echo(io: &mut TcpStream, req: &ReceivedRequest, id: &str, headers: &str) -> bool {
    let path = req.head.split(' ').nth(1).unwrap_or_default();
    if !path.starts_with("/stream/") && !path.starts_with("/resume/") {
        return io.write_all(response(200, id, headers, id).as_bytes()).await.is_ok();
    }
    let after = req.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    if io.write_all(event_stream_head(id, headers).as_bytes()).await.is_err() {
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
    // Some tests close the connection before the response is written.
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
    let mut req = ReceivedRequest { head, body: String::new() };
    let length: usize = req.header("content-length").map_or(0, |text| text.parse().unwrap());
    while buf.len() < end + length {
        if io.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    req.body = String::from_utf8_lossy(&buf[end..end + length]).into_owned();
    Some(req)
}
