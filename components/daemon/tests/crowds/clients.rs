//! Clients of a crowd: what each sends, and how.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use crate::{
    node::{BODY_BYTES, Bed},
    targets::Target,
};

/// Number of clients in a crowd.
const CLIENTS: usize = 40;

/// Number of clients in a crowd that only holds connections.
const IDLE_CLIENTS: usize = 400;

/// Number of requests that a client sends ahead.
const REQUESTS_AHEAD: usize = 2000;

/// Time that a crowd gets to send what it has.
const SENDING_LIMIT: Duration = Duration::from_secs(4);

/// Time for which a node handles what has arrived, before it is checked.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// Pause between two pieces of a client that sends or reads slowly.
const SLOW_PAUSE: Duration = Duration::from_millis(20);

/// Size of the pieces in which a body is sent.
const PIECE_BYTES: usize = 1000;

/// What a client does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Sends a body in one piece, but for the last byte.
    BodyShort,
    /// Sends such a body in small pieces.
    BodyInPieces,
    /// Sends chunks without the last one.
    BodyInChunks,
    /// Announces and sends a body far over the limit.
    BodyOverLimit,
    /// Sends chunks far over the limit.
    ChunksOverLimit,
    /// Sends half of a body.
    BodyHalf,
    /// Sends a head with more fields than any ordinary one.
    ManyFields,
    /// Sends requests whose heads have many fields, but are read.
    ManyFieldsAllowed,
    /// Sends many requests and reads no response.
    RequestsAhead,
    /// Sends a head byte by byte.
    SlowHead,
    /// Sends half of a head.
    HalfHead,
    /// Requests large responses and reads none.
    LargeAnswersUnread,
    /// Requests large responses and reads little of them.
    LargeAnswersSlowly,
    /// Sends nothing.
    Idle,
    /// Sends one request, reads the response and keeps the connection.
    IdleAfterRequest,
}

impl Kind {
    fn clients(self) -> usize {
        match self {
            Kind::Idle | Kind::IdleAfterRequest => IDLE_CLIENTS,
            _ => CLIENTS,
        }
    }

    /// Returns what a client sends in one go.
    fn bytes(self, target: Target, id: &str) -> Vec<u8> {
        let sized = |length: usize, sent: usize| {
            let framing = format!("Content-Length: {length}\r\n");
            let head = target.head("POST", id, &framing);
            [head.as_bytes(), b"\r\n", &vec![b'b'; sent]].concat()
        };
        let chunked = |sent: usize| {
            let head = target.head("POST", id, "Transfer-Encoding: chunked\r\n");
            let chunk = format!("{PIECE_BYTES:x}\r\n{}\r\n", "b".repeat(PIECE_BYTES));
            format!("{head}\r\n{}", chunk.repeat(sent / PIECE_BYTES)).into_bytes()
        };
        let fields = |count: usize| {
            let head = target.head("GET", id, "");
            format!("{head}{}\r\n", "a:b\r\n".repeat(count)).into_bytes()
        };
        match self {
            Kind::BodyShort | Kind::BodyInPieces => sized(BODY_BYTES, BODY_BYTES - 1),
            Kind::BodyInChunks => chunked(BODY_BYTES - PIECE_BYTES),
            Kind::BodyOverLimit => sized(100 * BODY_BYTES, 4 * BODY_BYTES),
            Kind::ChunksOverLimit => chunked(4 * BODY_BYTES),
            Kind::BodyHalf => sized(BODY_BYTES, BODY_BYTES / 2),
            Kind::ManyFields => fields(3000),
            Kind::ManyFieldsAllowed => fields(80).repeat(100),
            Kind::RequestsAhead => fields(0).repeat(REQUESTS_AHEAD),
            Kind::SlowHead => fields(2000),
            Kind::HalfHead => fields(20)[..100].to_vec(),
            Kind::LargeAnswersUnread | Kind::LargeAnswersSlowly => fields(0).repeat(4),
            Kind::Idle => Vec::new(),
            Kind::IdleAfterRequest => fields(0),
        }
    }

    /// Returns the size of the pieces that are sent, and the pause after each.
    fn pieces(self) -> (usize, Duration) {
        match self {
            Kind::BodyInPieces => (PIECE_BYTES, Duration::ZERO),
            Kind::SlowHead => (1, SLOW_PAUSE),
            _ => (64 << 10, Duration::ZERO),
        }
    }

    /// Reads what a client of this kind reads, for as long as it lives.
    async fn read(self, io: &mut TcpStream) {
        let mut buf = [0; 1000];
        let slowly = self == Kind::LargeAnswersSlowly;
        if !slowly && self != Kind::IdleAfterRequest {
            return std::future::pending().await;
        }
        while io.read(&mut buf).await.is_ok_and(|n| n > 0) {
            if slowly {
                sleep(SLOW_PAUSE).await;
            }
        }
        // The node has closed the connection; the client keeps its end.
        std::future::pending().await
    }
}

/// A running crowd; it disconnects when it is dropped.
pub(crate) struct Clients {
    tasks: Vec<JoinHandle<()>>,
    sending: Rc<Cell<usize>>,
}

impl Clients {
    /// Waits until all clients have sent what they can.
    pub(crate) async fn settle(&self) {
        let deadline = Instant::now() + SENDING_LIMIT;
        while self.sending.get() > 0 && Instant::now() < deadline {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(SETTLING_TIME).await;
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Starts a crowd of the given kinds, with the same number of clients of each.
pub(crate) fn start(kinds: &[Kind], target: Target, bed: &Bed) -> Clients {
    let sending = Rc::new(Cell::new(0));
    let address = target.address(bed);
    let mut tasks = Vec::new();
    for kind in kinds {
        for n in 0..kind.clients() {
            let bytes = kind.bytes(target, &format!("crowd-{kind:?}-{n}"));
            sending.set(sending.get() + 1);
            let client = run(*kind, address, bytes, sending.clone());
            tasks.push(tokio::task::spawn_local(client));
        }
    }
    Clients { tasks, sending }
}

async fn run(kind: Kind, address: SocketAddr, bytes: Vec<u8>, sending: Rc<Cell<usize>>) {
    let connected = timeout(SENDING_LIMIT, TcpStream::connect(address)).await;
    let Ok(Ok(mut io)) = connected else {
        sending.set(sending.get() - 1);
        return;
    };
    let (size, pause) = kind.pieces();
    for piece in bytes.chunks(size) {
        // The node may refuse the request or close the connection at any time.
        if io.write_all(piece).await.is_err() {
            break;
        }
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
    sending.set(sending.get() - 1);
    kind.read(&mut io).await;
}
