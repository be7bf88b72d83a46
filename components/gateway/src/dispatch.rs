//! Sends a request to upstreams until one answers.

use std::{rc::Rc, time::Duration};

use actix_http::{Response, body::BoxBody};
use lycheelatch_prelude::UpstreamId;
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    answer::OwnAnswer,
    attempts::{Attempts, Next},
    decision::Reason,
    place::{Choice, NoChoice, PlaceAsk, place},
    relay::{EventRelay, LongRelay},
    send::{Answered, Failure, Started, Whole, send},
    serve::Job,
};

/// Shortest time that a caller is asked to stay away.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// Part by which the time that callers stay away is spread.
const RETRY_SPREAD: f64 = 0.5;

/// Silence, in parts of the route's target and of the expected time, after which a request
/// that may be repeated goes to another upstream.
const PATIENCE_SHARE: f64 = 1.5;
const PATIENCE_TIMES: u32 = 3;

/// Time left below which nothing is sent.
const MIN_LEFT: Duration = Duration::from_millis(20);

/// Sends a request to upstreams until one answers.
pub(crate) async fn dispatch(job: &Rc<Job>) -> Result<Response<BoxBody>, OwnAnswer> {
    let mut attempts = Attempts::new(job.route.kind, job.route.max_attempts);
    let mut failed: Option<Whole> = None;
    let result = timeout_at(job.ends, until_answered(job, &mut attempts, &mut failed)).await;
    let sends = attempts.tried().len();
    match result {
        Ok(Ok(answered)) => Ok(respond(job, answered, attempts)),
        Ok(Err(refusal)) => match failed {
            Some(whole) => {
                job.log_end(Reason::Answered, whole.status.as_u16(), sends);
                Ok(whole_response(whole))
            }
            None => Err(refusal),
        },
        Err(_) => Err(OwnAnswer::new(Reason::TimedOut)),
    }
}

async fn until_answered(
    job: &Rc<Job>,
    attempts: &mut Attempts,
    failed: &mut Option<Whole>,
) -> Result<Answered, OwnAnswer> {
    let mut paid: Option<Choice> = None;
    loop {
        let choice = match paid.take() {
            Some(choice) => choice,
            None => choose_and_pay(job, attempts)?,
        };
        let id = choice.upstream.id();
        let failure = match send_patiently(job, &choice, attempts).await {
            Ok(answered) => return Ok(answered),
            Err(Unanswered::Failed(failure)) => failure,
            Err(Unanswered::Left(next)) => {
                paid = Some(*next);
                Failure::given_up()
            }
        };
        let next = attempts.ended(id, failure.end);
        *failed = failure.answer.or(failed.take());
        if next != Next::MayRepeat {
            return Err(given_up(next));
        }
    }
}

/// Chooses an upstream, and takes the send from the limit on retries if it is one.
fn choose_and_pay(job: &Job, attempts: &Attempts) -> Result<Choice, OwnAnswer> {
    let choice = match choose(job, attempts.tried()) {
        Ok(choice) => choice,
        Err(refusal) if attempts.tried().is_empty() => return Err(refusal),
        Err(refusal) => return Err(after_sends(attempts, refusal)),
    };
    if attempts.is_retry() && !job.gateway.try_retry(&job.service.name, Instant::now()) {
        return Err(given_up(attempts.give_up()));
    }
    Ok(choice)
}

/// How a send ended without an answer.
enum Unanswered {
    Failed(Failure),
    /// The upstream was silent for long; the next send is chosen and paid for.
    Left(Box<Choice>),
}

impl From<Failure> for Unanswered {
    fn from(failure: Failure) -> Unanswered {
        Unanswered::Failed(failure)
    }
}

/// Sends, and gives the upstream up for another one when it is silent for long.
///
/// The next send is chosen and paid for before this one is given up, so that an upstream that
/// is only slow is not left for nothing.
async fn send_patiently(
    job: &Rc<Job>,
    choice: &Choice,
    attempts: &Attempts,
) -> Result<Answered, Unanswered> {
    let mut sending = Box::pin(send(job, choice, job.facts.resume_after));
    if !attempts.may_leave_silent() {
        return Ok(sending.await?);
    }
    let expected = choice.expected.map_or(Duration::ZERO, |expected| expected.first_token);
    let patience = job.route.target.mul_f64(PATIENCE_SHARE).max(expected * PATIENCE_TIMES);
    if let Ok(result) = timeout(patience, &mut sending).await {
        return Ok(result?);
    }
    match choose_other(job, attempts, choice) {
        Some(next) => Err(Unanswered::Left(Box::new(next))),
        None => Ok(sending.await?),
    }
}

/// Chooses and pays for another upstream in place of one that is silent, if there is one.
fn choose_other(job: &Job, attempts: &Attempts, silent: &Choice) -> Option<Choice> {
    let mut tried = attempts.tried().to_vec();
    tried.push(silent.upstream.id());
    let next = choose(job, &tried).ok()?;
    job.gateway.try_retry(&job.service.name, Instant::now()).then_some(next)
}

/// Returns the refusal when no further upstream can be found after some sends.
fn after_sends(attempts: &Attempts, refusal: OwnAnswer) -> OwnAnswer {
    match attempts.give_up() {
        Next::FailUnknown => OwnAnswer::new(Reason::UpstreamFailed),
        _ => refusal,
    }
}

fn given_up(next: Next) -> OwnAnswer {
    match next {
        Next::FailUnknown => OwnAnswer::new(Reason::UpstreamFailed),
        _ => OwnAnswer::come_back(Reason::NotRun, spread(MIN_RETRY)),
    }
}

/// Spreads a time, so that callers that were refused together don't return together.
fn spread(time: Duration) -> Duration {
    time.mul_f64(1.0 + RETRY_SPREAD * rand::random::<f64>())
}

/// Chooses an upstream for the next send.
fn choose(job: &Job, tried: &[UpstreamId]) -> Result<Choice, OwnAnswer> {
    let now = Instant::now();
    if job.left() < MIN_LEFT {
        return Err(OwnAnswer::new(Reason::TooLate));
    }
    let keepers = job.gateway.directory.for_service(&job.service.name);
    let candidates: Vec<_> = keepers.iter().filter(|up| up.accepts_requests()).cloned().collect();
    let late = job.arrived + job.route.target;
    let ask = PlaceAsk {
        service: &job.service,
        chain: job.chain.as_ref(),
        zone: &job.gateway.settings.zone,
        far_news: job.gateway.far_news(),
        keepers: &keepers,
        tried,
        until_late: late.saturating_duration_since(now),
        rank: job.rank(),
    };
    place(&ask, &candidates, now, rand::random()).map_err(|none| {
        job.gateway.count_no_room(&job.service.name);
        match none {
            NoChoice::NoUpstream => OwnAnswer::come_back(Reason::NoUpstream, spread(MIN_RETRY * 4)),
            NoChoice::Busy(after) => {
                OwnAnswer::come_back(Reason::Busy, spread(after.max(MIN_RETRY)))
            }
        }
    })
}

fn respond(job: &Rc<Job>, answered: Answered, attempts: Attempts) -> Response<BoxBody> {
    job.gateway.metrics.first_byte.observe(job.arrived.elapsed().as_secs_f64());
    match answered {
        Answered::Whole(whole) => {
            job.log_end(Reason::Answered, whole.status.as_u16(), attempts.tried().len() + 1);
            whole_response(whole)
        }
        Answered::Long { whole, connection, running } => {
            let mut response = Response::new(whole.status);
            response.head_mut().headers = whole.headers.clone();
            let relay = LongRelay::new(job.clone(), whole.body, connection, running);
            response.set_body(BoxBody::new(relay.into_body()))
        }
        Answered::Events(started) => {
            let mut response = Response::new(started.status);
            response.head_mut().headers = started.headers.clone();
            let relay = EventRelay::new(job.clone(), started, attempts);
            response.set_body(BoxBody::new(relay.into_body()))
        }
    }
}

fn whole_response(whole: Whole) -> Response<BoxBody> {
    let mut response = Response::new(whole.status);
    response.head_mut().headers = whole.headers;
    response.set_body(BoxBody::new(whole.body))
}

/// Goes on with a stream at another upstream after the last event that was passed on.
pub(crate) async fn resume(
    job: &Rc<Job>,
    attempts: &mut Attempts,
    after: Option<u64>,
) -> Option<Started> {
    loop {
        let choice = choose_and_pay(job, attempts).ok()?;
        let id = choice.upstream.id();
        match send(job, &choice, after).await {
            Ok(Answered::Events(started)) => return Some(started),
            Ok(_) => return None,
            Err(failure) => {
                if attempts.ended(id, failure.end) != Next::MayRepeat {
                    return None;
                }
            }
        }
    }
}
