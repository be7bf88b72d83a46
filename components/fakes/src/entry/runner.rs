//! A runner that answers each request as a script says.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::any_port;

/// What a runner does with one request.
#[derive(Debug, Clone)]
pub enum Act {
    /// Answers whole, with a signature.
    Answer(u16, String),
    /// Answers with a body that ends with the connection.
    Unframed(String),
    /// Answers with a body that ends with the connection, and resets it.
    UnframedReset(String),
    /// Resets the connection without an answer.
    Reset,
    /// Says that the request did not run.
    NotRun(u16),
    /// First answers an earlier request, then this one.
    StrayFirst(String),
    /// Answers, then sends another answer that nobody asked for.
    StrayAfter(String),
    /// Answers without a signature.
    Unsigned,
    /// Sends events with these ids, and ends the stream.
    Events(Vec<u64>),
    /// Sends events with these ids and half of another one, and resets the connection.
    BrokenEvents(Vec<u64>),
    /// Never answers.
    Hang,
}

/// A request as a runner saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Request line and headers.
    pub head: String,
    /// Body.
    pub body: String,
}

impl Seen {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

#[derive(Default)]
struct State {
    script: VecDeque<Act>,
    seen: Vec<Seen>,
    dropped: u32,
}

/// A runner that answers each request as a script says; without one, with `ok`.
#[derive(Clone)]
pub struct Runner {
    address: SocketAddr,
    state: Rc<RefCell<State>>,
}

impl Runner {
    /// Starts a runner on loopback.
    pub async fn start(script: impl IntoIterator<Item = Act>) -> Runner {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(RefCell::new(State {
            script: script.into_iter().collect(),
            ..State::default()
        }));
        let runner = Runner { address, state };
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

    /// Returns the requests that came.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.borrow().seen.clone()
    }

    /// Returns how many connections the other side closed while a request hung.
    pub fn dropped(&self) -> u32 {
        self.state.borrow().dropped
    }

    async fn serve(&self, mut io: TcpStream) {
        while let Some(seen) = read_request(&mut io).await {
            let id = seen.header("lycheelatch-request-id").unwrap_or("none").to_owned();
            let act = {
                let mut state = self.state.borrow_mut();
                state.seen.push(seen);
                state.script.pop_front().unwrap_or(Act::Answer(200, "ok".to_owned()))
            };
            if !self.act(&mut io, act, &id).await {
                return;
            }
        }
    }

    /// Returns whether the connection goes on.
    async fn act(&self, io: &mut TcpStream, act: Act, id: &str) -> bool {
        match act {
            Act::Answer(status, body) => {
                write(io, &answer(status, id, SIGNATURE, &body)).await;
                true
            }
            Act::Unframed(body) => {
                write(io, &unframed(id, &body)).await;
                false
            }
            Act::UnframedReset(body) => {
                write(io, &unframed(id, &body)).await;
                sleep(Duration::from_millis(30)).await;
                reset(io);
                false
            }
            Act::Reset => {
                reset(io);
                false
            }
            Act::NotRun(status) => {
                write(io, &answer(status, id, "Lycheelatch-Not-Executed: 1\r\n", "")).await;
                true
            }
            Act::StrayFirst(body) => {
                write(io, &answer(200, "another", SIGNATURE, "not yours")).await;
                write(io, &answer(200, id, SIGNATURE, &body)).await;
                true
            }
            Act::StrayAfter(body) => {
                write(io, &answer(200, id, SIGNATURE, &body)).await;
                write(io, &answer(200, id, SIGNATURE, "again")).await;
                true
            }
            Act::Unsigned => {
                write(io, &answer(200, id, "", "whose is this")).await;
                true
            }
            Act::Events(ids) => {
                write(io, &events(id, &ids)).await;
                write(io, "0\r\n\r\n").await;
                true
            }
            Act::BrokenEvents(ids) => {
                write(io, &events(id, &ids)).await;
                write(io, "8\r\nid: 99\nd\r\n").await;
                sleep(Duration::from_millis(30)).await;
                reset(io);
                false
            }
            Act::Hang => {
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

async fn write(io: &mut TcpStream, text: &str) {
    // The other side may have closed the connection, which some tests are about.
    let _closed = io.write_all(text.as_bytes()).await;
}

fn reset(io: &TcpStream) {
    socket2::SockRef::from(io).set_linger(Some(Duration::ZERO)).unwrap();
}

async fn read_request(io: &mut TcpStream) -> Option<Seen> {
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
    let mut seen = Seen { head, body: String::new() };
    let length: usize = seen.header("content-length").map_or(0, |text| text.parse().unwrap());
    while buf.len() < end + length {
        if io.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    seen.body = String::from_utf8_lossy(&buf[end..end + length]).into_owned();
    Some(seen)
}
