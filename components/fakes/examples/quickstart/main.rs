//! Runs two nodes with fake upstreams in four availability zones, and checks
//! the responses that callers get while a zone is reclaimed.
//!
//! With `-- --serve`, the nodes keep running and the example prints requests to try.
#![expect(clippy::print_stdout, reason = "the table is the output of the example")]

mod callers;
mod setup;

use std::{process::ExitCode, time::Duration};

use callers::{Caller, StreamEnd};
use futures_util::future::join_all;
use setup::{ORDERS_SERVICE, Setup, TOKEN, ZONES};
use tokio::time::{Instant, sleep};

/// Concurrent streams while a zone is reclaimed.
const STREAMS: usize = 40;

/// Tokens per stream.
const STREAM_TOKENS: u64 = 500;

/// Time between the reclaim notice and the termination of the zone's instances.
const NOTICE: Duration = Duration::from_secs(1);

/// Maximum time until a configuration is in force on every node.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

fn main() -> ExitCode {
    let serve = std::env::args().any(|arg| arg == "--serve");
    actix::System::new().block_on(run(serve))
}

/// One row of the table.
struct Row {
    name: &'static str,
    result: String,
    passed: bool,
}

async fn run(serve: bool) -> ExitCode {
    let started = Instant::now();
    let setup = match Setup::start().await {
        Ok(setup) => setup,
        Err(err) => {
            println!("quickstart: start failed: {err}");
            return ExitCode::FAILURE;
        }
    };
    println!("Two nodes are ready after {} ms.", started.elapsed().as_millis());
    let mut rows = vec![
        Row {
            name: "configuration in force at both nodes after",
            result: format!("{} ms", setup.in_force_after.as_millis()),
            passed: setup.in_force_after < IN_FORCE_LIMIT,
        },
        first_token(&setup, started).await,
        booking(&setup).await,
    ];
    rows.extend(reclaim(&setup).await);
    rows.push(bookings_after_reclaim(&setup).await);
    print_table(&rows);
    if serve {
        serve_until_interrupted(&setup).await;
    }
    let passed = rows.iter().all(|row| row.passed);
    setup.stop().await;
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn first_token(setup: &Setup, started: Instant) -> Row {
    let caller = Caller::new(setup.nodes[0].callers());
    let prompt = "draft a pattern for a rush mat";
    let stream = caller.stream(prompt, 12).await;
    let passed = stream.is_complete_response_to(prompt, 12);
    let ms = stream.first_token.map(|at| at.duration_since(started).as_millis());
    let result = format!("{:?}, first token {} ms after the start", stream.end, ms.unwrap_or(0));
    Row { name: "one streamed response", result, passed }
}

async fn booking(setup: &Setup) -> Row {
    let first = Caller::new(setup.nodes[0].callers()).book("chapel-floor", "key-1").await;
    let repeated = Caller::new(setup.nodes[1].callers()).book("chapel-floor", "key-1").await;
    let executions = setup.executions("chapel-floor");
    Row {
        name: "booking, repeated through the other node",
        result: format!(
            "{} {}, then {} {}; executed {executions} time(s)",
            first.status, first.outcome, repeated.status, repeated.outcome
        ),
        passed: executions == 1 && first.outcome == "complete" && first.body == repeated.body,
    }
}

/// Reclaims a zone during streams.
async fn reclaim(setup: &Setup) -> Vec<Row> {
    let callers: Vec<_> = (0..STREAMS)
        .map(|i| (format!("letter {i}"), Caller::new(setup.nodes[i % 2].callers())))
        .collect();
    let streams = join_all(callers.iter().map(|(prompt, c)| c.stream(prompt, STREAM_TOKENS)));
    let reclaim = async {
        sleep(Duration::from_millis(200)).await;
        setup.announce(ZONES[0], NOTICE);
        sleep(NOTICE).await;
        setup.kill(ZONES[0]).await;
    };
    let (streams, ()) = futures_util::future::join(streams, reclaim).await;
    let exact = callers
        .iter()
        .zip(&streams)
        .filter(|((prompt, _), stream)| stream.is_complete_response_to(prompt, STREAM_TOKENS))
        .count();
    let complete = streams.iter().filter(|stream| stream.end == StreamEnd::Complete).count();
    let tokens: usize = streams.iter().map(|stream| stream.tokens).sum();
    vec![
        Row {
            name: "streams while a zone is reclaimed",
            result: format!("{complete} of {STREAMS} complete"),
            passed: complete == STREAMS,
        },
        Row {
            name: "streams with the text that engines generate",
            result: format!("{exact} of {STREAMS} exact, {tokens} tokens"),
            passed: exact == STREAMS,
        },
        Row {
            name: "recomputed prompt and response tokens",
            result: setup.recomputed_tokens().to_string(),
            passed: true,
        },
    ]
}

async fn bookings_after_reclaim(setup: &Setup) -> Row {
    let caller = Caller::new(setup.nodes[1].callers());
    let mut complete = 0;
    for i in 0..20 {
        let response = caller.book(&format!("order-{i}"), &format!("after-{i}")).await;
        complete += usize::from(response.outcome == "complete");
    }
    let duplicates = setup.duplicate_executions();
    Row {
        name: "bookings after the reclaim",
        result: format!("{complete} of 20 complete, {duplicates} executed more than once"),
        passed: complete == 20 && duplicates == 0,
    }
}

fn print_table(rows: &[Row]) {
    println!();
    for row in rows {
        let kept = if row.passed { "kept" } else { "BROKEN" };
        println!("{kept:7} {:46} {}", row.name, row.result);
    }
    println!();
}

async fn serve_until_interrupted(setup: &Setup) {
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
    println!("Stop with Ctrl-C.");
    let _interrupted = tokio::signal::ctrl_c().await;
}
