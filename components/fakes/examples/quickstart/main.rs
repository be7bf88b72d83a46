//! Runs two nodes before stand-in upstreams in four availability zones, and
//! shows what callers see when a zone is reclaimed.
//!
//! `-- --serve` keeps everything up and prints requests to try.
#![expect(clippy::print_stdout, reason = "the table is the purpose of the example")]

mod callers;
mod setup;

use std::{process::ExitCode, time::Duration};

use callers::{Caller, StreamEnd};
use futures_util::future::join_all;
use setup::{ORDERS_SERVICE, Setup, TOKEN, ZONES};
use tokio::time::{Instant, sleep};

/// Streams that run while a zone is reclaimed.
const STREAMS: usize = 40;

/// Tokens of each of those streams.
const STREAM_TOKENS: u64 = 500;

/// Time between the notice and the end of the reclaimed zone.
const NOTICE: Duration = Duration::from_secs(1);

/// Time within which a configuration is in force at every node.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

fn main() -> ExitCode {
    let serve = std::env::args().any(|arg| arg == "--serve");
    actix::System::new().block_on(run(serve))
}

/// One line of the table.
struct Line {
    what: &'static str,
    seen: String,
    kept: bool,
}

async fn run(serve: bool) -> ExitCode {
    let begun = Instant::now();
    let setup = match Setup::start().await {
        Ok(setup) => setup,
        Err(err) => {
            println!("quickstart: does not start: {err}");
            return ExitCode::FAILURE;
        }
    };
    println!("Two nodes are ready after {} ms.", begun.elapsed().as_millis());
    let mut lines = vec![
        Line {
            what: "a configuration, until in force at both nodes",
            seen: format!("{} ms", setup.in_force_after.as_millis()),
            kept: setup.in_force_after < IN_FORCE_LIMIT,
        },
        first_token(&setup, begun).await,
        booking(&setup).await,
    ];
    lines.extend(reclaim(&setup).await);
    lines.push(fresh_after_reclaim(&setup).await);
    print_table(&lines);
    if serve {
        keep_serving(&setup).await;
    }
    let kept = lines.iter().all(|line| line.kept);
    setup.stop().await;
    if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn first_token(setup: &Setup, begun: Instant) -> Line {
    let caller = Caller::new(setup.nodes[0].callers());
    let prompt = "draft a pattern for a rush mat";
    let stream = caller.stream(prompt, 12).await;
    let kept = stream.is_whole_answer_to(prompt, 12);
    let ms = stream.first_token.map(|at| at.duration_since(begun).as_millis());
    let seen = format!("{:?}, first token {} ms after the start", stream.end, ms.unwrap_or(0));
    Line { what: "one streamed answer", seen, kept }
}

async fn booking(setup: &Setup) -> Line {
    let first = Caller::new(setup.nodes[0].callers()).book("chapel-floor", "key-1").await;
    let again = Caller::new(setup.nodes[1].callers()).book("chapel-floor", "key-1").await;
    let executions = setup.executions("chapel-floor");
    Line {
        what: "a booking, sent again through the other node",
        seen: format!(
            "{} {}, then {} {}; executed {executions} time(s)",
            first.status, first.outcome, again.status, again.outcome
        ),
        kept: executions == 1 && first.outcome == "complete" && first.body == again.body,
    }
}

/// Reclaims a zone while streams run.
async fn reclaim(setup: &Setup) -> Vec<Line> {
    let callers: Vec<_> = (0..STREAMS)
        .map(|i| (format!("letter {i}"), Caller::new(setup.nodes[i % 2].callers())))
        .collect();
    let streams = join_all(callers.iter().map(|(prompt, c)| c.stream(prompt, STREAM_TOKENS)));
    let wave = async {
        sleep(Duration::from_millis(200)).await;
        setup.announce(ZONES[0], NOTICE);
        sleep(NOTICE).await;
        setup.kill(ZONES[0]).await;
    };
    let (streams, ()) = futures_util::future::join(streams, wave).await;
    let whole = callers
        .iter()
        .zip(&streams)
        .filter(|((prompt, _), stream)| stream.is_whole_answer_to(prompt, STREAM_TOKENS))
        .count();
    let complete = streams.iter().filter(|stream| stream.end == StreamEnd::Complete).count();
    let tokens: usize = streams.iter().map(|stream| stream.tokens).sum();
    vec![
        Line {
            what: "streams while a zone is reclaimed",
            seen: format!("{complete} of {STREAMS} complete"),
            kept: complete == STREAMS,
        },
        Line {
            what: "their tokens, against the engines' own text",
            seen: format!("{whole} of {STREAMS} exact, {tokens} tokens"),
            kept: whole == STREAMS,
        },
        Line {
            what: "prompt and answer tokens computed again",
            seen: setup.recomputed_tokens().to_string(),
            kept: true,
        },
    ]
}

async fn fresh_after_reclaim(setup: &Setup) -> Line {
    let caller = Caller::new(setup.nodes[1].callers());
    let mut complete = 0;
    for i in 0..20 {
        let answer = caller.book(&format!("order-{i}"), &format!("after-{i}")).await;
        complete += usize::from(answer.outcome == "complete");
    }
    let doubled = setup.doubled();
    Line {
        what: "bookings after the reclaim",
        seen: format!("{complete} of 20 complete, {doubled} doubled"),
        kept: complete == 20 && doubled == 0,
    }
}

fn print_table(lines: &[Line]) {
    println!();
    for line in lines {
        let kept = if line.kept { "kept" } else { "BROKEN" };
        println!("{kept:7} {:46} {}", line.what, line.seen);
    }
    println!();
}

async fn keep_serving(setup: &Setup) {
    let addr = setup.nodes[0].callers();
    println!("Try:");
    println!(
        "  curl -N http://{addr}/v1/chat/completions -H 'Authorization: Bearer {TOKEN}' \\\n    \
         -d '{{\"model\":\"gwehydd-llm\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!(
        "  curl -i -X POST http://{addr}/services/{ORDERS_SERVICE}/orders/mat-7 \\\n    \
         -H 'Authorization: Bearer {TOKEN}' -H 'Idempotency-Key: mat-7'"
    );
    println!("End it with Ctrl-C.");
    let _interrupted = tokio::signal::ctrl_c().await;
}
