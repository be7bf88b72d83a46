//! Stand-in for the platform's API: takes usage reports and orders, and keeps when each arrived.
//!
//! Each zone has one runner that may be reclaimed and none of the other kind, and no further one is
//! to be had there at the moment, so that an order for more gets 409.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

use crate::record::Record;

/// A call as it arrived.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) at: Instant,
    /// Machine that sent it.
    pub(crate) machine: usize,
    /// The duty and what it is about.
    pub(crate) subject: String,
    pub(crate) fence: u64,
    pub(crate) body: String,
}

/// The platform's API, with one address for each machine, so that the sender of a call is known.
#[derive(Clone)]
pub(crate) struct DutyApi {
    calls: Rc<RefCell<Vec<Call>>>,
    has_fewer: Rc<Cell<bool>>,
    record: Record,
}

impl DutyApi {
    pub(crate) fn new(record: Record) -> DutyApi {
        DutyApi { calls: Rc::default(), has_fewer: Rc::default(), record }
    }

    /// Returns the calls in the order of their arrival.
    pub(crate) fn calls(&self) -> Vec<Call> {
        self.calls.borrow().clone()
    }

    /// Starts to listen for the calls of one machine.
    pub(crate) async fn listen(&self, machine: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let api = self.clone();
        actix_rt::spawn(async move {
            loop {
                let Ok((io, _)) = listener.accept().await else { continue };
                let api = api.clone();
                actix_rt::spawn(async move {
                    let _closed = api.serve(machine, io).await;
                });
            }
        });
        address
    }

    async fn serve(&self, machine: usize, mut io: TcpStream) -> Option<()> {
        io.set_nodelay(true).ok()?;
        let mut buf = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
                    break end + 4;
                }
                if io.read_buf(&mut buf).await.ok()? == 0 {
                    return None;
                }
            };
            let head = String::from_utf8_lossy(&buf[..end]).to_lowercase();
            let length: usize = header(&head, "content-length")?.parse().ok()?;
            while buf.len() < end + length {
                if io.read_buf(&mut buf).await.ok()? == 0 {
                    return None;
                }
            }
            let body = String::from_utf8_lossy(&buf[end..end + length]).into_owned();
            buf.drain(..end + length);
            let path = head.split(' ').nth(1)?.to_owned();
            let fence = header(&head, "-token")?.parse().ok()?;
            let status = if self.is_met(&path, &body) { "200 OK" } else { "409 Conflict" };
            self.take(machine, &path, fence, body, status);
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            io.write_all(answer.as_bytes()).await.ok()?;
        }
    }

    /// Returns whether the call is carried out. An order for fewer runners than there are would
    /// have them leave, which this stand-in doesn't do; it is noted.
    fn is_met(&self, path: &str, body: &str) -> bool {
        let Some(order) = parse_order(path, body) else { return true };
        let present = u64::from(order["spot"] == true);
        let desired = order["desired_count"].as_u64().unwrap_or(0);
        if desired < present {
            self.has_fewer.set(true);
        }
        desired <= present
    }

    /// Returns whether an order would have made a runner leave.
    pub(crate) fn has_order_for_fewer(&self) -> bool {
        self.has_fewer.get()
    }

    fn take(&self, machine: usize, path: &str, fence: u64, body: String, status: &str) {
        let subject = match parse_order(path, &body) {
            Some(order) => format!("scale {} {}", order["service"], order["zone"]),
            None => path.trim_start_matches('/').to_owned(),
        };
        self.record.line(format!(
            "platform: {path} with fence {fence} from node-{machine}: {body} -> {status}"
        ));
        self.calls.borrow_mut().push(Call { at: Instant::now(), machine, subject, fence, body });
    }
}

fn parse_order(path: &str, body: &str) -> Option<Value> {
    if path == "/scale" { serde_json::from_str(body).ok() } else { None }
}

/// Returns the value of the header whose name ends with `name`, in a head in lower case.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(known, _)| known.ends_with(name)).map(|(_, value)| value.trim())
}
