//! Callers that send requests of every kind and record the responses.

use std::{cell::RefCell, rc::Rc, time::Duration};

use lycheelatch_fakes::entry::{Response, prompt_headers, read_response, request};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::nodes::Node;

/// Pause between two requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Maximum number of requests per connection.
const REQUESTS_PER_CONNECTION: u32 = 8;

/// Time after which a caller abandons a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// First part of every prompt.
const FIRST_PART: u64 = 0xa;

/// Second parts of prompts, one each.
const SECOND_PARTS: [u64; 3] = [0xc0, 0xc1, 0xc2];

/// Kind of a request; the path selects the route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Safe,
    Once,
    Stream,
    Resume,
}

impl RequestKind {
    const ALL: [RequestKind; 4] =
        [RequestKind::Safe, RequestKind::Once, RequestKind::Stream, RequestKind::Resume];

    fn path(self) -> &'static str {
        match self {
            RequestKind::Safe => "/safe/",
            RequestKind::Once => "/once/",
            RequestKind::Stream => "/stream/",
            RequestKind::Resume => "/resume/",
        }
    }

    /// Returns whether a request may be executed more than once.
    pub(crate) fn may_repeat(self) -> bool {
        matches!(self, RequestKind::Safe | RequestKind::Resume)
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::Resume)
    }
}

/// A request and its response.
#[derive(Debug, Clone)]
pub(crate) struct CallRecord {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) sent: Instant,
    /// Whether the node had not been disturbed lately when the request was sent.
    pub(crate) is_node_quiet: bool,
    /// `None` if no response was received in time.
    pub(crate) response: Option<Response>,
}

/// Records of all calls.
pub(crate) type CallLog = Rc<RefCell<Vec<CallRecord>>>;

/// Returns the shared parts of the prompt of request `number`.
pub(crate) fn shared_parts(number: usize) -> [u64; 2] {
    [FIRST_PART, SECOND_PARTS[number % SECOND_PARTS.len()]]
}

/// Sends requests until the task is aborted.
///
/// Requests for streams have a prompt if `has_prompts` is set.
pub(crate) async fn call_forever(
    caller: usize,
    nodes: Rc<Vec<Node>>,
    has_prompts: bool,
    log: CallLog,
) {
    let mut number = 0_usize;
    loop {
        let at = (caller + number) % nodes.len();
        match TcpStream::connect(nodes[at].callers).await {
            Ok(io) => {
                let connected = Connected { io, node: &nodes[at] };
                number = call_on_connection(connected, caller, number, has_prompts, &log).await;
            }
            Err(_) => number += 1,
        }
        sleep(REQUEST_INTERVAL).await;
    }
}

/// A connection to a node.
struct Connected<'a> {
    io: TcpStream,
    node: &'a Node,
}

async fn call_on_connection(
    mut connected: Connected<'_>,
    caller: usize,
    mut number: usize,
    has_prompts: bool,
    log: &CallLog,
) -> usize {
    for _ in 0..REQUESTS_PER_CONNECTION {
        number += 1;
        let kind = RequestKind::ALL[number % RequestKind::ALL.len()];
        let id = format!("c{caller}-{number}");
        let sent = Instant::now();
        let is_node_quiet = connected.node.is_quiet();
        let headers = match has_prompts && kind.is_stream() {
            true => prompt_headers(&shared_parts(number), (caller << 32 | number) as u64),
            false => String::new(),
        };
        let response = send_request(&mut connected.io, kind, &id, &headers).await;
        let is_reusable = response.as_ref().is_some_and(|response| {
            response.is_complete && response.header("connection") != Some("close")
        });
        log.borrow_mut().push(CallRecord { id, kind, sent, is_node_quiet, response });
        if !is_reusable {
            return number;
        }
        sleep(REQUEST_INTERVAL).await;
    }
    number
}

/// Sends a request on an open connection and reads the response.
pub(crate) async fn send_request(
    io: &mut TcpStream,
    kind: RequestKind,
    id: &str,
    headers: &str,
) -> Option<Response> {
    let text = request("POST", kind.path(), id, headers, "");
    io.write_all(text.as_bytes()).await.ok()?;
    timeout(CALL_TIMEOUT, read_response(io)).await.ok()?
}
