//! A runner that streams slowly, and that can crash and start again at its address.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

use crate::{names::Names, record::Record};

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
        self.spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                let serving = runner.clone();
                runner.spawn(async move { serving.serve(io).await });
            }
        });
    }

    /// Ends the process: its listener and all its connections are closed.
    pub fn crash(&self) {
        self.record.line(&format!("runner {} ends", self.id));
        self.incarnation.borrow_mut().is_up = false;
        self.tasks.take().iter().for_each(JoinHandle::abort);
    }

    /// Starts the process again at the same address under the same id.
    pub async fn start_again(self: &Rc<Self>, version: &str) {
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
        while let Some(head) = read_request(&mut io).await {
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
            if !self.run(&mut io, &id, after, is_harmful).await {
                return;
            }
        }
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
        sleep(self.work.first_event).await;
        let version = self.incarnation.borrow().version.clone();
        self.runs.borrow_mut().push(Run { at: Instant::now(), is_harmful });
        self.record.line(&format!(
            "runner {} ({version}) runs {id} after event {after:?}{}",
            self.id,
            if is_harmful { ", which holds the harmful part" } else { "" }
        ));
        if is_harmful {
            self.crash_and_return();
            return false;
        }
        let framing = self.work.framing;
        let head = framing.head(&self.names.stream_head(id));
        if io.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        for number in after.unwrap_or(0) + 1..=self.work.events {
            let event = format!("id: {number}\ndata: {version} {}\n\n", self.id);
            if io.write_all(framing.event(&event).as_bytes()).await.is_err() {
                return false;
            }
            if number < self.work.events {
                sleep(self.work.gap).await;
            }
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

    /// Crashes, unless it just did, and starts again some time later.
    fn crash_and_return(self: &Rc<Self>) {
        if !std::mem::replace(&mut self.incarnation.borrow_mut().is_up, false) {
            return;
        }
        let runner = self.clone();
        actix_rt::spawn(async move {
            let version = runner.incarnation.borrow().version.clone();
            runner.crash();
            sleep(runner.work.down).await;
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
