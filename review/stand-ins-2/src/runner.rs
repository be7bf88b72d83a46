//! A runner that streams slowly, and that can crash and start again at its address.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_rt::task::JoinHandle;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

use crate::{names::Names, record::Record};

/// Time after which a connection shows that the queue of a listener is full.
const FILL_TIME: Duration = Duration::from_millis(30);

/// What a runner is at its present start.
#[derive(Debug, Clone)]
pub struct Incarnation {
    pub version: String,
    /// Unix milliseconds of the start.
    pub born: u64,
    pub is_up: bool,
}

/// How a runner works.
#[derive(Debug, Clone)]
pub struct Work {
    pub first_event: Duration,
    pub gap: Duration,
    pub events: u64,
    /// Part of a prompt on which it crashes when it begins to write an answer.
    pub crashes_on: Option<u64>,
    /// Time until it listens again after such a crash.
    pub down: Duration,
    pub framing: Framing,
}

/// How a runner frames its streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Chunks,
    /// Neither a length nor chunks; the stream ends with its connection.
    UntilClose,
}

impl Framing {
    fn head(self, chunked: &str) -> String {
        match self {
            Framing::Chunks => chunked.to_owned(),
            Framing::UntilClose => {
                chunked.replace("Transfer-Encoding: chunked", "Connection: close")
            }
        }
    }

    fn event(self, text: &str) -> String {
        match self {
            Framing::Chunks => format!("{:x}\r\n{text}\r\n", text.len()),
            Framing::UntilClose => text.to_owned(),
        }
    }
}

/// What a runner does with a request whose connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnClose {
    /// It drops the request.
    Drops,
    /// It works on to the end of the request.
    WorksOn,
}

/// How a runner ends on a request that crashes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Its process ends, and its machine closes all connections.
    Closes,
    /// It goes dark with its machine: nothing is sent any more, and no connection is accepted.
    Dark,
}

/// Time for which a runner worked on a request.
#[derive(Debug, Clone)]
pub struct Span {
    pub id: String,
    pub began: Instant,
    pub ended: Option<Instant>,
}

/// When a version is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Badness {
    Never,
    Always,
    /// While the runner has received more than so many unsafe requests within a second.
    UnderLoad(usize),
}

impl Badness {
    /// Returns whether a runner is bad that has received requests at these times.
    fn is_bad(self, received: impl Iterator<Item = Instant>) -> bool {
        match self {
            Badness::Never => false,
            Badness::Always => true,
            Badness::UnderLoad(most) => {
                received.filter(|at| at.elapsed() < Duration::from_secs(1)).count() > most
            }
        }
    }
}

/// A request that a runner began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub is_harmful: bool,
}

pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub incarnation: RefCell<Incarnation>,
    /// How many times as long as usual its work takes.
    pub slowness: Cell<u32>,
    pub on_close: Cell<OnClose>,
    pub ending: Cell<Ending>,
    /// Whether its entry says that it drains.
    pub is_draining: Cell<bool>,
    /// Number of the present start.
    start: Cell<u32>,
    listening: RefCell<Option<JoinHandle<()>>>,
    pub spans: RefCell<Vec<Span>>,
    /// When three in five of its answers to unsafe requests are failures.
    pub badness: Cell<Badness>,
    /// When it received each unsafe request, and whether its answer was a failure.
    pub received: RefCell<Vec<(Instant, String, bool)>>,
    dark: RefCell<Option<TcpListener>>,
    work: Work,
    names: Rc<Names>,
    runs: Rc<RefCell<Vec<Run>>>,
    record: Record,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

struct Head {
    path: String,
    lines: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        self.lines.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

pub struct Place {
    pub id: String,
    pub service: String,
    pub zone: String,
}

impl Runner {
    pub async fn start(
        place: Place,
        version: &str,
        work: Work,
        names: Rc<Names>,
        runs: Rc<RefCell<Vec<Run>>>,
        record: Record,
    ) -> Rc<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let Place { id, service, zone } = place;
        let incarnation =
            RefCell::new(Incarnation { version: version.to_owned(), born: now_ms(), is_up: true });
        let tasks = RefCell::default();
        let runner = Rc::new(Runner {
            id,
            service,
            zone,
            address,
            incarnation,
            slowness: Cell::new(1),
            on_close: Cell::new(OnClose::Drops),
            ending: Cell::new(Ending::Closes),
            is_draining: Cell::new(false),
            start: Cell::new(0),
            listening: RefCell::default(),
            spans: RefCell::default(),
            badness: Cell::new(Badness::Never),
            received: RefCell::default(),
            dark: RefCell::default(),
            work,
            names,
            runs,
            record,
            tasks,
        });
        runner.listen(listener);
        runner
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(actix_rt::spawn(task));
    }

    fn listen(self: &Rc<Self>, listener: TcpListener) {
        let runner = self.clone();
        let listening = actix_rt::spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                let serving = runner.clone();
                runner.spawn(async move { serving.serve(io).await });
            }
        });
        self.listening.replace(Some(listening));
    }

    /// Never goes on if the machine went dark since `start`.
    async fn stay_dark(&self, start: u32) {
        if self.start.get() != start {
            std::future::pending::<()>().await;
        }
    }

    /// Ends the process: its listener and all its connections are closed.
    pub fn crash(&self) {
        self.record.line(&format!("runner {} ends", self.id));
        self.incarnation.borrow_mut().is_up = false;
        self.listening.take().iter().for_each(JoinHandle::abort);
        self.tasks.take().iter().for_each(JoinHandle::abort);
    }

    /// Goes dark with its machine: open connections stay silent for good, also after the next start,
    /// and new ones hang until then.
    async fn go_dark(&self) -> Vec<TcpStream> {
        self.record.line(&format!("runner {} goes dark", self.id));
        self.incarnation.borrow_mut().is_up = false;
        self.start.set(self.start.get() + 1);
        if let Some(listening) = self.listening.take() {
            listening.abort();
            let _aborted = listening.await;
        }
        // Connections beyond those that fill the queue of a listener that accepts none hang.
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("a socket option");
        socket.bind(self.address).expect("the port is free");
        let listener = socket.listen(1).expect("the port is free");
        let mut queued = Vec::new();
        while let Ok(Ok(io)) = timeout(FILL_TIME, TcpStream::connect(self.address)).await {
            queued.push(io);
        }
        self.dark.replace(Some(listener));
        queued
    }

    /// Starts the process again at the same address under the same id.
    pub async fn start_again(self: &Rc<Self>, version: &str) {
        self.dark.take();
        let listener = TcpListener::bind(self.address).await.expect("the port is free");
        let born = now_ms();
        self.record.line(&format!("runner {} starts as software {version}, born {born}", self.id));
        *self.incarnation.borrow_mut() =
            Incarnation { version: version.to_owned(), born, is_up: true };
        self.listen(listener);
    }

    async fn serve(self: Rc<Self>, mut io: TcpStream) {
        let _nodelay = io.set_nodelay(true);
        if self.work.framing == Framing::UntilClose {
            // A crash resets the connection, so that a cut stream does not look like a whole one.
            let _reset = io.set_zero_linger();
        }
        let start = self.start.get();
        while let Some(head) = read_request(&mut io).await {
            self.stay_dark(start).await;
            let id = head.get(&self.names.request_id).unwrap_or("none").to_owned();
            if head.get(&self.names.expected_instance).is_some_and(|named| named != self.id) {
                let refusal = self.names.refusal(421, &id);
                if io.write_all(refusal.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let after = head.get("last-event-id").and_then(|text| text.parse().ok());
            let is_harmful = self.is_harmful(&head);
            if head.path.starts_with("/safe/") {
                sleep(self.work.first_event).await;
                if io.write_all(self.names.answer(&id).as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if head.path.starts_with("/once/") {
                let number = self.received.borrow().len();
                let fails = self.is_bad() && number % 5 < 3;
                self.received.borrow_mut().push((Instant::now(), id.clone(), fails));
                let status = if fails { 500 } else { 200 };
                self.record.line(&format!("runner {} runs {id} and answers {status}", self.id));
                sleep(self.work.first_event).await;
                if io.write_all(self.names.answer_as(status, &id).as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if !self.run(&mut io, &id, after, is_harmful).await {
                return;
            }
        }
    }

    fn is_bad(&self) -> bool {
        let received = self.received.borrow();
        self.badness.get().is_bad(received.iter().map(|(at, ..)| *at))
    }

    fn is_harmful(&self, head: &Head) -> bool {
        let Some(part) = self.work.crashes_on else { return false };
        let parts = head.get(&self.names.prompt_parts).and_then(|parts| parts.rsplit_once(','));
        let Some((shared, _own)) = parts else { return false };
        let mut ids = shared.split(',').filter_map(|part| part.split_once(':'));
        ids.any(|(id, _)| u64::from_str_radix(id, 16) == Ok(part))
    }

    /// Streams the events after `after`; returns whether the connection goes on.
    async fn run(
        self: &Rc<Self>,
        io: &mut TcpStream,
        id: &str,
        after: Option<u64>,
        is_harmful: bool,
    ) -> bool {
        let start = self.start.get();
        sleep(self.work.first_event * self.slowness.get()).await;
        self.stay_dark(start).await;
        let version = self.incarnation.borrow().version.clone();
        let span = self.begin_span(id);
        self.runs.borrow_mut().push(Run { at: Instant::now(), is_harmful });
        self.record.line(&format!(
            "runner {} ({version}) runs {id} after event {after:?}{}",
            self.id,
            if is_harmful { ", which holds the harmful part" } else { "" }
        ));
        if is_harmful {
            self.crash_and_return();
            if self.ending.get() == Ending::Dark {
                std::future::pending::<()>().await;
            }
            return false;
        }
        let goes_on = self.stream(io, id, after, &version).await;
        self.end_span(span);
        goes_on
    }

    async fn stream(
        &self,
        io: &mut TcpStream,
        id: &str,
        after: Option<u64>,
        version: &str,
    ) -> bool {
        let start = self.start.get();
        let framing = self.work.framing;
        let head = framing.head(&self.names.stream_head(id));
        let mut is_open = io.write_all(head.as_bytes()).await.is_ok();
        for number in after.unwrap_or(0) + 1..=self.work.events {
            let event = format!("id: {number}\ndata: {version} {}\n\n", self.id);
            is_open = is_open && io.write_all(framing.event(&event).as_bytes()).await.is_ok();
            if is_open && number < self.work.events {
                is_open = self.wait_for_next(io).await;
            } else if number < self.work.events {
                sleep(self.work.gap * self.slowness.get()).await;
            }
            self.stay_dark(start).await;
            if !is_open && self.on_close.get() == OnClose::Drops {
                return false;
            }
        }
        if !is_open {
            return false;
        }
        match framing {
            Framing::Chunks => io.write_all(b"0\r\n\r\n").await.is_ok(),
            Framing::UntilClose => {
                let _closed = io.shutdown().await;
                // The node has read all of it when it closes its side.
                while matches!(io.read(&mut [0; 64]).await, Ok(1..)) {}
                false
            }
        }
    }

    /// Waits until the next event is made; returns whether the connection is still open.
    async fn wait_for_next(&self, io: &mut TcpStream) -> bool {
        let made_at = Instant::now() + self.work.gap * self.slowness.get();
        let mut unexpected = [0; 64];
        let read = timeout_at(made_at, io.read(&mut unexpected)).await;
        if !matches!(read, Ok(Ok(0) | Err(_))) {
            sleep_until(made_at).await;
            return true;
        }
        if self.on_close.get() == OnClose::WorksOn {
            sleep_until(made_at).await;
        }
        false
    }

    fn begin_span(&self, id: &str) -> usize {
        let mut spans = self.spans.borrow_mut();
        spans.push(Span { id: id.to_owned(), began: Instant::now(), ended: None });
        spans.len() - 1
    }

    fn end_span(&self, at: usize) {
        let span = &mut self.spans.borrow_mut()[at];
        span.ended = Some(Instant::now());
        self.record.line(&format!("runner {} works no longer on {}", self.id, span.id));
    }

    /// Crashes, unless it just did, and starts again some time later.
    fn crash_and_return(self: &Rc<Self>) {
        if !std::mem::replace(&mut self.incarnation.borrow_mut().is_up, false) {
            return;
        }
        let runner = self.clone();
        actix_rt::spawn(async move {
            let version = runner.incarnation.borrow().version.clone();
            let queued = match runner.ending.get() {
                Ending::Closes => {
                    runner.crash();
                    Vec::new()
                }
                Ending::Dark => runner.go_dark().await,
            };
            sleep(runner.work.down).await;
            drop(queued);
            runner.start_again(&version).await;
        });
    }
}

/// Reads a request with its body; returns `None` at the end of the connection.
async fn read_request(io: &mut TcpStream) -> Option<Head> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(at) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        if io.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    };
    let text = String::from_utf8_lossy(&buf[..end]).into_owned();
    let pairs = text.lines().skip(1).filter_map(|line| line.split_once(':'));
    let lines: Vec<_> =
        pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
    let path = text.split(' ').nth(1).unwrap_or_default().to_owned();
    let head = Head { path, lines };
    let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buf.len() < end + length {
        if io.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

pub fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(now.expect("after 1970").as_millis()).expect("fits")
}
