use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Request, Response, body::BoxBody};
use prometheus::{IntCounterVec, IntGauge, Opts};
use proptest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::{sleep, timeout},
};

use crate::{
    client_connection::ReadLimits,
    connection_table::{ConnectionTable, ResponseMemory},
    held_memory::ClientMemory,
    request_body::read_request_body,
    server::{ServerLimits, bind, serve},
};

use super::*;

const LIMITS: ServerLimits = ServerLimits {
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(5),
    read: ReadLimits { head: 8 * 1024, unread_body: 64 * 1024 },
};

/// Time within which all responses are received.
const RESPONSES_LIMIT: Duration = Duration::from_secs(10);

/// A server that responds with the bodies of its requests.
struct Echo {
    address: SocketAddr,
    requests: Rc<Cell<usize>>,
    memory: IntGauge,
}

fn start_echo() -> Echo {
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let memory = IntGauge::new("held", "Bytes").unwrap();
    let closed =
        IntCounterVec::new(Opts::new("closed", "Closed"), &["listener", "reason"]).unwrap();
    let held = ClientMemory::new(1 << 20, memory.clone());
    let table =
        Rc::new(ConnectionTable::new("test", 100, held.clone(), ResponseMemory::Always, closed));
    let requests = Rc::new(Cell::new(0));
    let count = requests.clone();
    let handler = move |mut req: Request| {
        count.set(count.get() + 1);
        let held = held.clone();
        async move {
            let connection = ClientConnection::of(&req).unwrap();
            let mut memory = held.hold(connection.client);
            let mut payload = req.take_payload();
            let body = read_request_body(&mut payload, None, 64 << 10, &mut memory).await;
            sleep(Duration::from_millis(1)).await;
            Response::ok().set_body(BoxBody::new(body.unwrap_or_default()))
        }
    };
    actix_rt::spawn(serve(listener, table, || LIMITS, None, handler));
    Echo { address, requests, memory }
}

#[derive(Debug, Clone)]
enum Body {
    None,
    Sized(usize),
    Chunks(Vec<usize>),
}

impl Body {
    fn strategy() -> impl Strategy<Value = Body> {
        prop_oneof![
            Just(Body::None),
            (0_usize..40_000).prop_map(Body::Sized),
            prop::collection::vec(1_usize..3000, 0..8).prop_map(Body::Chunks),
        ]
    }

    fn len(&self) -> usize {
        match self {
            Body::None => 0,
            Body::Sized(len) => *len,
            Body::Chunks(sizes) => sizes.iter().sum(),
        }
    }

    /// Returns the text of a request with this body, whose bytes look like the end of a head.
    fn request(&self) -> String {
        let bytes = |len: usize| "\r\n".repeat(len / 2 + 1)[..len].to_owned();
        match self {
            Body::None => "GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_owned(),
            Body::Sized(len) => {
                format!(
                    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {len}\r\n\r\n{}",
                    bytes(*len)
                )
            }
            Body::Chunks(sizes) => {
                let chunk = |size: &usize| format!("{size:x}\r\n{}\r\n", bytes(*size));
                let chunks: String = sizes.iter().map(chunk).collect();
                format!(
                    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
                )
            }
        }
    }
}

/// Sends bytes in pieces and returns what is received before the connection has been silent for
/// `silence` or is closed.
async fn exchange(address: SocketAddr, bytes: &[u8], piece: usize, silence: Duration) -> Vec<u8> {
    let io = TcpStream::connect(address).await.unwrap();
    let (mut rd, mut wr) = io.into_split();
    let sent = bytes.to_vec();
    let sending = actix_rt::spawn(async move {
        for piece in sent.chunks(piece) {
            if wr.write_all(piece).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
        wr
    });
    let mut received = Vec::new();
    while timeout(silence, rd.read_buf(&mut received)).await.is_ok_and(|n| n.is_ok_and(|n| n > 0)) {
    }
    sending.abort();
    received
}

fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(test)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn requests_ahead_in_any_pieces_are_all_answered(
        bodies in prop::collection::vec(Body::strategy(), 1..12),
        piece in 1_usize..5000,
    ) {
        run(async {
            let echo = start_echo();
            let text: String = bodies.iter().map(Body::request).collect();
            let answers = exchange(echo.address, text.as_bytes(), piece.max(40), RESPONSES_LIMIT / 20);
            let received = timeout(RESPONSES_LIMIT, answers).await.unwrap();
            let received = String::from_utf8(received).unwrap();
            prop_assert_eq!(received.matches("HTTP/1.1 200 OK").count(), bodies.len());
            let whole: usize = bodies.iter().map(Body::len).sum();
            prop_assert!(received.len() >= whole);
            prop_assert_eq!(echo.memory.get(), 0);
            Ok(())
        })?;
    }

    #[test]
    fn any_bytes_neither_panic_nor_stay(
        bytes in prop::collection::vec(any::<u8>(), 0..20_000),
        start in prop::sample::select(vec![
            "", "GET / HTTP/1.1\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "\r\n\r\n\r\n",
        ]),
    ) {
        run(async {
            let echo = start_echo();
            let sent = [start.as_bytes(), &bytes].concat();
            exchange(echo.address, &sent, 3000, Duration::from_millis(20)).await;
            let ordinary = Body::Sized(100).request();
            let received =
                exchange(echo.address, ordinary.as_bytes(), 1000, Duration::from_millis(300)).await;
            prop_assert!(received.starts_with(b"HTTP/1.1 200 OK"));
            prop_assert_eq!(echo.memory.get(), 0);
            Ok(())
        })?;
    }

    #[test]
    fn end_of_head_same_in_any_pieces(
        bytes in prop::collection::vec(prop::sample::select(b"\r\na".to_vec()), 0..200),
        piece in 1_usize..20,
    ) {
        let expected = bytes.windows(4).position(|window| window == END_OF_HEAD).map(|at| at + 4);
        let mut matched = 0;
        let mut found = None;
        for (n, piece_bytes) in bytes.chunks(piece).enumerate() {
            found = end_of_head(piece_bytes, &mut matched).map(|end| n * piece + end);
            if found.is_some() {
                break;
            }
        }
        prop_assert_eq!(found, expected);
    }
}

#[test]
fn requests_ahead_wait_until_the_client_reads() {
    run(async {
        let echo = start_echo();
        let mut io = TcpStream::connect(echo.address).await.unwrap();
        let text = Body::Sized(40_000).request();
        let sending = async { while io.write_all(text.as_bytes()).await.is_ok() {} };
        assert!(timeout(Duration::from_millis(1500), sending).await.is_err(), "it isn't closed");
        let handled = echo.requests.get();
        sleep(Duration::from_millis(300)).await;
        assert_eq!(echo.requests.get(), handled, "nothing is handled that can't be answered");
        assert!(echo.memory.get() <= 80_000, "{} bytes for one request", echo.memory.get());
    });
}

#[test]
fn head_without_end_closes_the_connection() {
    run(async {
        let echo = start_echo();
        let head = format!("GET / HTTP/1.1\r\nHost: a\r\n{}", "X-A: b\r\n".repeat(5000));
        let mut io = TcpStream::connect(echo.address).await.unwrap();
        let _sent = io.write_all(head.as_bytes()).await;
        let read = timeout(Duration::from_secs(3), io.read_to_end(&mut Vec::new())).await;
        assert!(read.is_ok(), "the connection stays open");
        assert_eq!(echo.requests.get(), 0);
    });
}
