//! Callers that send requests of every kind and keep what they got.

use std::{cell::RefCell, rc::Rc, time::Duration};

use lycheelatch_fakes::entry::{Response, read_response, request};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::nodes::Node;

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Requests on one connection.
const PER_CONNECTION: u32 = 8;

/// Time after which a caller leaves.
const PATIENCE: Duration = Duration::from_secs(4);

/// Kind of a request, by its path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Safe,
    Once,
    Stream,
    Resume,
}

impl Kind {
    const ALL: [Kind; 4] = [Kind::Safe, Kind::Once, Kind::Stream, Kind::Resume];

    fn path(self) -> &'static str {
        match self {
            Kind::Safe => "/safe/",
            Kind::Once => "/once/",
            Kind::Stream => "/stream/",
            Kind::Resume => "/resume/",
        }
    }

    /// Returns whether a request may run more than once.
    pub(crate) fn may_repeat(self) -> bool {
        matches!(self, Kind::Safe | Kind::Resume)
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::Resume)
    }
}

/// One request and what became of it.
#[derive(Debug, Clone)]
pub(crate) struct Told {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) sent: Instant,
    /// None: no answer came.
    pub(crate) answer: Option<Response>,
}

/// Everything that callers were told.
pub(crate) type Record = Rc<RefCell<Vec<Told>>>;

/// Sends requests until the task is dropped.
pub(crate) async fn call_forever(caller: usize, nodes: Rc<Vec<Node>>, record: Record) {
    let mut number = 0_usize;
    loop {
        let at = (caller + number) % nodes.len();
        match TcpStream::connect(nodes[at].callers).await {
            Ok(io) => number = use_connection(io, caller, number, &record).await,
            Err(_) => number += 1,
        }
        sleep(PAUSE).await;
    }
}

async fn use_connection(
    mut io: TcpStream,
    caller: usize,
    mut number: usize,
    record: &Record,
) -> usize {
    for _ in 0..PER_CONNECTION {
        number += 1;
        let kind = Kind::ALL[number % Kind::ALL.len()];
        let id = format!("c{caller}-{number}");
        let sent = Instant::now();
        let answer = ask(&mut io, kind, &id).await;
        let goes_on = answer.as_ref().is_some_and(|answer| {
            answer.is_complete && answer.header("connection") != Some("close")
        });
        record.borrow_mut().push(Told { id, kind, sent, answer });
        if !goes_on {
            return number;
        }
        sleep(PAUSE).await;
    }
    number
}

async fn ask(io: &mut TcpStream, kind: Kind, id: &str) -> Option<Response> {
    let text = request("POST", kind.path(), id, "", "");
    io.write_all(text.as_bytes()).await.ok()?;
    timeout(PATIENCE, read_response(io)).await.ok()?
}
