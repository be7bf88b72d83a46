//! `lycheelatch explain`: reconstructs the course of one request from the decision logs of nodes.

use std::{fmt::Write, io::Read};

use clap::ArgMatches;
use serde::{Deserialize, Serialize};

use super::read_text;
use crate::{
    CliError, Output,
    cli::{output_format, string_arg},
};

/// One decision log line about a request.
#[derive(Debug, Clone, Deserialize, Serialize)]
struct LogLine {
    #[serde(default)]
    time_ms: u64,
    #[serde(default)]
    node: String,
    request: String,
    #[serde(flatten)]
    event: Event,
}

/// Event that a log line records.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Event {
    RequestRefused {
        reason: String,
        status: u16,
        retry_after_ms: Option<u64>,
        config_version: Option<u64>,
    },
    QuotaRefused {
        workspace: String,
        cost: u64,
        limit: u64,
        excess: u64,
        subwindow_ms: u64,
        unheard_nodes: u32,
        unmet_nodes: u32,
        nodes: u32,
    },
    SendEnded {
        upstream: String,
        candidates: usize,
        expected_ms: Option<u64>,
        runner_up: Option<String>,
        runner_up_ms: Option<u64>,
        uncached_tokens: Option<u32>,
        fetched_tokens: Option<u32>,
        running_here: u32,
        running_elsewhere: u32,
        elapsed_ms: u64,
        end: String,
        speed_percent: Option<u32>,
        stated_percent: Option<u32>,
    },
    StreamBroke {
        upstream: String,
        last_event: Option<u64>,
        reason: String,
    },
    ResponseCut {
        upstream: String,
        stage: String,
        parts: Vec<String>,
    },
    RequestEnded {
        route: String,
        workspace: Option<String>,
        reason: String,
        status: u16,
        sends: usize,
        elapsed_ms: u64,
        config_version: u64,
    },
}

pub(super) fn run(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    let request = string_arg(args, "request").unwrap_or_default();
    let files: Vec<String> =
        args.get_many::<String>("file").into_iter().flatten().cloned().collect();
    let files = if files.is_empty() { vec!["-".to_owned()] } else { files };
    let mut lines = Vec::new();
    for file in &files {
        let content = read_text(file, stdin)?;
        lines.extend(content.lines().filter_map(|line| parse(line, &request)));
    }
    lines.sort_by_key(|line| line.time_ms);
    if lines.is_empty() {
        return Err(CliError::NotInLogs { request });
    }
    if args.get_flag("why") {
        return Ok(Output::success(format!("{}\n", find_cause(&lines))));
    }
    Ok(Output::success(output_format(args).render(&lines, format_timeline)))
}

/// Parses the JSON part of a line about `request`, ignoring any prefix before it.
fn parse(line: &str, request: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let parsed: LogLine = serde_json::from_str(&line[start..]).ok()?;
    (parsed.request == request).then_some(parsed)
}

fn format_timeline(lines: &Vec<LogLine>) -> String {
    let start = lines.first().map_or(0, |line| line.time_ms);
    let mut timeline = String::new();
    for line in lines {
        let elapsed = line.time_ms - start;
        let description = describe(&line.event);
        // Writing to a `String` can't fail.
        let _written = writeln!(timeline, "+{elapsed} ms {}: {description}", line.node);
    }
    let _written = writeln!(timeline, "cause: {}", find_cause(lines));
    timeline
}

fn describe(event: &Event) -> String {
    match event {
        Event::RequestRefused { reason, status, retry_after_ms, config_version } => {
            let retry = retry_after_ms.map_or(String::new(), |ms| format!(", back in {ms} ms"));
            let version = or_dash(config_version.as_ref());
            format!("refused with {status}: {reason}{retry}; configuration {version}")
        }
        Event::QuotaRefused {
            workspace,
            cost,
            limit,
            excess,
            subwindow_ms,
            unheard_nodes,
            unmet_nodes,
            nodes,
        } => format!(
            "limit {limit} of {workspace} exceeded by {excess} within {subwindow_ms} ms, cost \
             {cost}; of {nodes} nodes {unheard_nodes} unheard and {unmet_nodes} unmet"
        ),
        Event::SendEnded {
            upstream,
            candidates,
            expected_ms,
            runner_up,
            runner_up_ms,
            uncached_tokens,
            fetched_tokens,
            running_here,
            running_elsewhere,
            elapsed_ms,
            end,
            speed_percent,
            stated_percent,
        } => format!(
            "sent to {upstream} of {candidates} ({running_here} running from here, \
             {running_elsewhere} from other nodes; expected {} ms, {} tokens to read, {} to fetch; \
             second choice {} at {} ms{}): {end} after {elapsed_ms} ms",
            or_dash(expected_ms.as_ref()),
            or_dash(uncached_tokens.as_ref()),
            or_dash(fetched_tokens.as_ref()),
            or_dash(runner_up.as_ref()),
            or_dash(runner_up_ms.as_ref()),
            describe_speed(*speed_percent, *stated_percent),
        ),
        Event::StreamBroke { upstream, last_event, reason } => {
            format!("broke at {upstream} after event {}: {reason}", or_dash(last_event.as_ref()))
        }
        Event::ResponseCut { upstream, stage, parts } => {
            format!("cut by {upstream} ({stage}); shared parts [{}]", parts.join(" "))
        }
        Event::RequestEnded {
            route,
            workspace,
            reason,
            status,
            sends,
            elapsed_ms,
            config_version,
        } => format!(
            "ended with {status}, {reason}, after {elapsed_ms} ms and {sends} sends; route {route}, \
             workspace {}, configuration {config_version}",
            or_dash(workspace.as_ref()),
        ),
    }
}

/// Describes the speed that an upstream was assumed to have, if the line tells it.
fn describe_speed(learnt: Option<u32>, stated: Option<u32>) -> String {
    let Some(learnt) = learnt else { return String::new() };
    let stated = stated.map_or(String::new(), |stated| format!(", it stated {stated}%"));
    format!("; learnt to take {learnt}% of the usual time{stated}")
}

/// Formats a value, or `-` if there is none.
fn or_dash<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), T::to_string)
}

/// Returns the cause of the outcome of a request, in one line.
fn find_cause(lines: &[LogLine]) -> String {
    let failure = lines.iter().rev().find_map(|line| match &line.event {
        Event::SendEnded { upstream, end, .. } if end != "answered" => {
            Some(format!("{upstream} said or did: {end}"))
        }
        Event::StreamBroke { upstream, reason, .. } => {
            Some(format!("it broke at {upstream}: {reason}"))
        }
        _ => None,
    });
    let slow = lines.iter().find_map(|line| match &line.event {
        Event::SendEnded {
            upstream,
            expected_ms: Some(expected),
            elapsed_ms,
            end,
            speed_percent,
            ..
        } if end == "answered" && *elapsed_ms > 2 * expected => {
            let slower = speed_percent.map_or(String::new(), |percent| {
                let took = u64::from(percent) * elapsed_ms / (*expected).max(1);
                format!(": it took {took}% of the usual time, {percent}% were learnt")
            });
            Some(format!(
                "{upstream} gave its first event after {elapsed_ms} ms, {expected} ms were \
                 expected{slower}"
            ))
        }
        _ => None,
    });
    let reason = lines.iter().rev().find_map(|line| match &line.event {
        Event::RequestEnded { reason, .. } | Event::RequestRefused { reason, .. } => {
            Some(reason.as_str())
        }
        _ => None,
    });
    let assumed = lines.iter().any(|line| match line.event {
        Event::QuotaRefused { unheard_nodes, unmet_nodes, .. } => unheard_nodes + unmet_nodes > 0,
        _ => false,
    });
    let cause = match reason {
        Some("busy") => "no upstream could answer in time, so none got it".to_owned(),
        Some("no_upstream") => "the service had no upstream that takes work".to_owned(),
        Some("crashes_upstreams") => "its prompt holds a part that crashes upstreams".to_owned(),
        Some("over_quota") if assumed => {
            "the workspace was over its limit, use of nodes not heard from assumed".to_owned()
        }
        Some("over_quota") => "the workspace was over its limit on all nodes together".to_owned(),
        Some("not_informed") => "the node held no configuration or no upstreams yet".to_owned(),
        Some("stopping") => "the node was stopping".to_owned(),
        Some("answered") => slow.unwrap_or_else(|| "it was answered as expected".to_owned()),
        Some("caller_left") => "the caller left".to_owned(),
        Some("timed_out") => "the time of the caller or the route was up".to_owned(),
        Some(other) => other.replace('_', " "),
        None => "its end is in no log".to_owned(),
    };
    match failure {
        Some(failure) => format!("{cause}; {failure}"),
        None => cause,
    }
}
