//! One send of a request to one upstream, up to its answer or first event.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{ResponseHead, StatusCode, header::HeaderMap};
use bytes::{Bytes, BytesMut};
use lycheelatch_prelude::UpstreamId;
use tokio::time::Instant;

use crate::{
    ForwardParams, ResponseInfo,
    attempts::SendEnd,
    connection::{Connection, ExchangeError, Outgoing},
    decision::{Belief, Decision, SendEnded, millis, note},
    directory::Upstream,
    engine_load::{Expected, InFlight},
    frames::FrameReader,
    gateway::Read,
    gossip::{announce_absence, announce_request},
    place::Choice,
    serve::Job,
};

/// Longest answer that is read whole before its head goes out, in bytes.
const MAX_WHOLE_BYTES: usize = 256 * 1024;

/// Answers to earlier requests that are skipped on one connection.
const MAX_SKIPPED: u32 = 3;

/// A send that is under way; gives its room back when dropped.
pub(crate) struct Running {
    pub(crate) upstream: Rc<Upstream>,
    work: Option<InFlight>,
    expected: Option<Expected>,
    started: Instant,
}

impl Running {
    fn start(job: &Job, choice: &Choice) -> Running {
        let upstream = choice.upstream.clone();
        upstream.running.set(upstream.running.get() + 1);
        let mut work = None;
        if let (Some(chain), Some(expected)) = (&job.chain, &choice.expected) {
            let mut load = upstream.load.borrow_mut();
            let sent = load.sent(chain, expected);
            let memory = job.service.engine.as_ref().map_or(0, |engine| engine.memory_tokens);
            load.remember(&chain.links, memory, Instant::now());
            let read = Read { upstream: upstream.id(), links: chain.links.clone() };
            drop(load);
            let zone = upstream.entry.borrow().zone.clone();
            announce_request(&job.gateway, &job.service.name, &zone, &read, sent);
            job.gateway.reads.borrow_mut().push(read);
            work = Some(sent);
        }
        Running { upstream, work, expected: choice.expected, started: Instant::now() }
    }

    /// Takes note of the first event.
    pub(crate) fn first_event(&mut self) {
        let now = Instant::now();
        if let (Some(work), Some(expected)) = (&mut self.work, &self.expected) {
            let mut load = self.upstream.load.borrow_mut();
            load.first_token(work);
            load.measured(expected.first_token, now - self.started, now);
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.upstream.running.set(self.upstream.running.get().saturating_sub(1));
        if let Some(work) = self.work.take() {
            self.upstream.load.borrow_mut().ended(work);
        }
    }
}

/// How a send failed.
pub(crate) struct Failure {
    pub(crate) end: SendEnd,
    reason: String,
    /// Whether the upstream is certainly not at its address any more.
    is_absent: bool,
    /// The upstream's own answer, when it ran the request and failed.
    pub(crate) answer: Option<Whole>,
}

impl Failure {
    /// Returns the failure of a send that is given up for another upstream.
    pub(crate) fn given_up() -> Failure {
        unknown("given up for another upstream".to_owned())
    }
}

/// An answer that was read whole.
#[derive(Clone)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A stream whose first event has come.
pub(crate) struct Started {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) connection: Connection,
    pub(crate) frames: FrameReader,
    pub(crate) running: Running,
}

/// A good answer.
pub(crate) enum Answered {
    Whole(Whole),
    Events(Started),
    Long { whole: Whole, connection: Connection, running: Running },
}

/// Sends the request to one upstream and reads its answer, or the first event of it.
pub(crate) async fn send(
    job: &Rc<Job>,
    choice: &Choice,
    resume_after: Option<u64>,
) -> Result<Answered, Failure> {
    let running = Running::start(job, choice);
    let mut trace = SendTrace::start(job, choice);
    let result = exchange(job, running, choice.fetch_from, resume_after).await;
    trace.finish(&result);
    result
}

/// Writes how a send ended, also when it is given up before any answer.
struct SendTrace<'a> {
    job: &'a Job,
    choice: &'a Choice,
    started: Instant,
    running_here: u32,
    running_elsewhere: u32,
    is_finished: bool,
}

impl<'a> SendTrace<'a> {
    fn start(job: &'a Job, choice: &'a Choice) -> SendTrace<'a> {
        SendTrace {
            job,
            choice,
            started: Instant::now(),
            running_here: choice.upstream.running.get(),
            running_elsewhere: choice.upstream.running_elsewhere.get(),
            is_finished: false,
        }
    }

    fn finish(&mut self, result: &Result<Answered, Failure>) {
        self.is_finished = true;
        match result {
            Ok(_) => {
                self.choice.upstream.health.borrow_mut().record_success(Instant::now());
                self.write("answered", "answered");
            }
            Err(failure) => {
                self.note_failure(failure.end, failure.is_absent);
                self.write(end_label(failure.end), &failure.reason);
            }
        }
    }

    /// Takes note of a failure; the nodes that would send there too hear of an absent upstream.
    fn note_failure(&self, end: SendEnd, is_absent: bool) {
        let upstream = &self.choice.upstream;
        let now = Instant::now();
        let is_unreachable = is_absent || end == SendEnd::NotSent;
        let is_set_aside = match is_unreachable {
            true => upstream.health.borrow_mut().record_unreachable(now),
            false => upstream.health.borrow_mut().record_failure(now),
        };
        if !is_set_aside {
            return;
        }
        let failure_share = upstream.health.borrow().failure_share();
        note(&Belief::UpstreamSetAside { upstream: &upstream.id(), failure_share });
        if is_absent {
            announce_absence(&self.job.gateway, upstream);
        }
    }

    fn write(&self, label: &str, end: &str) {
        let choice = self.choice;
        self.job.gateway.metrics.sends.with_label_values(&[label]).inc();
        self.job.gateway.decisions.write(&Decision::SendEnded(SendEnded {
            request: &self.job.facts.id,
            upstream: &choice.upstream.id(),
            candidates: choice.candidates,
            runner_up: choice.runner_up.as_ref().map(|(id, _)| id),
            runner_up_ms: choice.runner_up.as_ref().map(|(_, expected)| millis(*expected)),
            fetched_tokens: choice.expected.map(|expected| expected.fetched_tokens),
            expected_ms: choice.expected.map(|expected| millis(expected.first_token)),
            uncached_tokens: choice.expected.map(|expected| expected.uncached_tokens),
            running_here: self.running_here,
            running_elsewhere: self.running_elsewhere,
            elapsed_ms: millis(self.started.elapsed()),
            end,
        }));
    }
}

impl Drop for SendTrace<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        // An upstream that gave nothing for as long as the route's target has failed.
        if self.started.elapsed() >= self.job.route.target {
            self.note_failure(SendEnd::Unknown, false);
        }
        self.write("given_up", "given up without an answer");
    }
}

fn end_label(end: SendEnd) -> &'static str {
    match end {
        SendEnd::NotSent => "not_sent",
        SendEnd::NotRun => "not_run",
        SendEnd::Unknown => "unknown",
        SendEnd::RanAndFailed => "ran_and_failed",
    }
}

async fn exchange(
    job: &Rc<Job>,
    mut running: Running,
    fetch_from: Option<SocketAddr>,
    resume_after: Option<u64>,
) -> Result<Answered, Failure> {
    let upstream = running.upstream.clone();
    let address = upstream.entry.borrow().address;
    let taken = upstream.pool.take(address, job.route.kind.may_repeat()).await;
    let mut connection = taken.map_err(failure_of)?;
    let out = outgoing(job, &upstream.id(), fetch_from, resume_after);
    let head = connection.exchange(out).await.map_err(failure_of)?;
    let (head, facts) = own_head(job, &mut connection, head).await?;
    if let Some(load) = facts.load {
        upstream.reported_load.set(Some((load, Instant::now())));
    }
    if facts.is_not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(refused(connection, &upstream, head.status).await);
    }
    if !facts.is_signed || facts.is_encoded {
        return Err(unknown(format!("status {} without a signature", head.status.as_u16())));
    }
    let headers = job.gateway.dialect.response_headers(&head.headers);
    if job.route.kind.is_stream() && head.status.is_success() {
        let started = Started {
            status: head.status,
            headers,
            connection,
            frames: FrameReader::default(),
            running,
        };
        return first_event(job, started).await.map(Answered::Events);
    }
    let (body, is_whole) = read_start(&mut connection).await?;
    running.first_event();
    note_began(job, running.started);
    let whole = Whole { status: head.status, headers, body };
    if !is_whole {
        return Ok(Answered::Long { whole, connection, running });
    }
    upstream.pool.put(connection);
    if head.status.is_server_error() && job.route.kind.may_repeat() {
        let reason = format!("status {}", head.status.as_u16());
        let answer = Some(whole);
        return Err(Failure { end: SendEnd::RanAndFailed, reason, is_absent: false, answer });
    }
    Ok(Answered::Whole(whole))
}

/// Counts a request that ran for the usage report.
fn note_began(job: &Job, began: Instant) {
    if let Some(workspace) = &job.workspace {
        let time = job.gateway.time.now().saturating_sub(began.elapsed());
        job.gateway.usage.borrow_mut().count(&workspace.name, time);
    }
}

fn failure_of(err: ExchangeError) -> Failure {
    let end = match err {
        ExchangeError::NotSent(_) | ExchangeError::NobodyThere(_) => SendEnd::NotSent,
        ExchangeError::Broken(_) | ExchangeError::BadAnswer(_) => SendEnd::Unknown,
    };
    let is_absent = matches!(err, ExchangeError::NobodyThere(_));
    Failure { end, reason: err.to_string(), is_absent, answer: None }
}

fn unknown(reason: String) -> Failure {
    Failure { end: SendEnd::Unknown, reason, is_absent: false, answer: None }
}

fn outgoing(
    job: &Job,
    upstream: &UpstreamId,
    fetch_from: Option<SocketAddr>,
    resume_after: Option<u64>,
) -> Outgoing {
    let workspace = job.workspace.as_ref().map(|workspace| &workspace.name);
    let added = ForwardParams {
        upstream,
        workspace,
        deadline_ms: millis(job.left()),
        resume_after,
        engine_rank: job.chain.as_ref().map(|_| job.rank().0.min(9)),
        fetch_from,
    };
    Outgoing {
        method: job.method.clone(),
        uri: job.uri.clone(),
        headers: job.gateway.dialect.upstream_headers(&job.headers, added),
        body: job.body.clone(),
    }
}

/// Returns the head that answers this request; answers to earlier ones are skipped.
async fn own_head(
    job: &Job,
    connection: &mut Connection,
    mut head: ResponseHead,
) -> Result<(ResponseHead, ResponseInfo), Failure> {
    for _ in 0..MAX_SKIPPED {
        let facts = job.gateway.dialect.parse_response(&head);
        let is_own = facts.request.as_deref().is_none_or(|id| id == &*job.facts.id);
        if is_own {
            return Ok((head, facts));
        }
        connection.whole_body(MAX_WHOLE_BYTES).await.map_err(failure_of)?;
        head = connection.next_head().await.map_err(failure_of)?;
    }
    Err(unknown("answers of other requests only".to_owned()))
}

/// Ends a send that the upstream promises not to run.
async fn refused(mut connection: Connection, upstream: &Upstream, status: StatusCode) -> Failure {
    if connection.whole_body(MAX_WHOLE_BYTES).await.is_ok() {
        upstream.pool.put(connection);
    }
    let reason = format!("refused with status {}", status.as_u16());
    // Another instance has taken over the address.
    let is_absent = status == StatusCode::MISDIRECTED_REQUEST;
    Failure { end: SendEnd::NotRun, reason, is_absent, answer: None }
}

async fn first_event(job: &Job, mut started: Started) -> Result<Started, Failure> {
    loop {
        match started.connection.chunk().await.map_err(failure_of)? {
            None => break,
            Some(chunk) => started.frames.push(&chunk),
        }
        if started.frames.has_whole() {
            break;
        }
    }
    note_began(job, Instant::now());
    started.running.first_event();
    Ok(started)
}

/// Reads the start of a body, and whether that is all of it.
async fn read_start(connection: &mut Connection) -> Result<(Bytes, bool), Failure> {
    let mut body = BytesMut::new();
    while body.len() < MAX_WHOLE_BYTES {
        match connection.chunk().await.map_err(failure_of)? {
            Some(chunk) => body.extend_from_slice(&chunk),
            None => return Ok((body.freeze(), true)),
        }
    }
    Ok((body.freeze(), false))
}
