//! Answers of faulty servers, as the client reads them.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use lycheelatch_http::{SendFailure, client, read_body, send};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const LIMIT: Duration = Duration::from_secs(5);

const MAX_BYTES: usize = 1 << 20;

/// Size of an upload that does not fit into the buffers of a connection, in bytes.
const UPLOAD_BYTES: usize = 6 << 20;

/// A refusal that is sent twice.
const REFUSED_TWICE: &str = "HTTP/1.1 503 X\r\nContent-Length: 7\r\n\r\nrefused\
     HTTP/1.1 503 X\r\nContent-Length: 7\r\n\r\nrefused";

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";

/// Starts a server whose first answer is `first` and any other one [`ANSWER`]; the connection of the
/// first one is reset after it if `is_reset`.
async fn start(first: &'static str, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let first = Rc::new(Cell::new(Some(first)));
    actix_rt::spawn(async move {
        while let Ok((io, _)) = listener.accept().await {
            actix_rt::spawn(answer_all(io, first.clone(), is_reset));
        }
    });
    address
}

async fn answer_all(mut io: TcpStream, first: Rc<Cell<Option<&'static str>>>, is_reset: bool) {
    let mut buf = vec![0; 4096];
    while matches!(io.read(&mut buf).await, Ok(n) if n > 0) {
        let _closed = io.write_all(first.take().unwrap_or(ANSWER).as_bytes()).await;
        if is_reset {
            sleep(Duration::from_millis(30)).await;
            io.set_zero_linger().unwrap();
            return;
        }
    }
}

/// Sends a request and reads its answer.
async fn call(to: SocketAddr, body: Bytes) -> Result<(u16, Bytes), SendFailure> {
    let mut response = send(client().post(format!("http://{to}/")), body, LIMIT).await?;
    let status = response.status().as_u16();
    Ok((status, read_body(&mut response, MAX_BYTES, LIMIT).await?))
}

#[actix_rt::test]
async fn answer_with_status_000_is_an_error() {
    let server = start("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", false).await;
    let answer = call(server, Bytes::new()).await;
    assert!(answer.is_err(), "{answer:?}");
}

#[actix_rt::test]
async fn answer_reset_during_the_upload_is_an_error() {
    let server = start("HTTP/1.1 200 OK\r\n\r\nthe first part", true).await;
    let answer = call(server, Bytes::from(vec![b'u'; UPLOAD_BYTES])).await;
    assert!(answer.is_err(), "{answer:?}");
}

#[actix_rt::test]
async fn answer_that_comes_again_answers_no_other_request() {
    for pause in [0, 50].map(Duration::from_millis) {
        let server = start(REFUSED_TWICE, false).await;
        assert_eq!(call(server, Bytes::new()).await.unwrap().0, 503);
        sleep(pause).await;
        for _ in 0..4 {
            // An error says that the request may have run, which is true.
            if let Ok((status, _)) = call(server, Bytes::new()).await {
                assert_eq!(status, 200, "the refusal came again, {pause:?} after it");
            }
        }
    }
}
