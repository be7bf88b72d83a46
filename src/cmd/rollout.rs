//! `lycheelatch rollout`: shows roll-outs out of nodes' logs.

use std::{collections::BTreeMap, fmt::Write, io::Read};

use clap::ArgMatches;
use serde::{Deserialize, Serialize};

use super::read_text;
use crate::{
    CliError, Output,
    cli::{output_format, string_arg},
    output::Table,
};

/// One log line about a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct LogLine {
    time_ms: u64,
    service: String,
    #[serde(flatten)]
    event: Event,
}

/// Event that a log line records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event")]
enum Event {
    #[serde(rename = "rollout_ordered")]
    Ordered { to: String, duration_ms: u64, order: u64 },
    #[serde(rename = "rollout_step")]
    Step(Step),
    #[serde(rename = "rollout_rejected")]
    Rejected { reason: String },
}

/// Step that a leader, or a node by its own counts, has taken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Step {
    to: String,
    phase: Phase,
    canary_share: f64,
    sent: u64,
    sent_to_canary: u64,
    failed_stable: u64,
    failed_canary: u64,
    answered_stable: u64,
    answered_canary: u64,
    reason: Option<Reason>,
    since_order_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Phase {
    Canary,
    Promoting,
    Completed,
    RolledBack,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Reason {
    Failures { route: Option<String> },
    Latency { route: Option<String> },
    NotEnoughEvidence,
}

/// State of a service's latest roll-out.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct State {
    service: String,
    to: String,
    state: &'static str,
    /// Latest step of the node that had counted most requests.
    step: Option<Step>,
    /// Why the latest order was rejected.
    rejected: Option<String>,
}

/// Lines about one service, in the order of their times.
type Lines = Vec<LogLine>;

pub(super) fn run(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    match args.subcommand() {
        Some(("list", args)) => list(args, stdin),
        Some(("show", args)) => show(args, stdin),
        Some(("explain", args)) => explain(args, stdin),
        _ => unreachable!("clap requires a known subcommand"),
    }
}

fn list(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    let services = read_lines(args, stdin)?;
    let states: Vec<_> = services.values().map(|lines| find_state(lines)).collect();
    Ok(Output::success(output_format(args).render(&states, format_list)))
}

fn show(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    let lines = lines_of_service(args, stdin)?;
    Ok(Output::success(output_format(args).render(&find_state(&lines), format_state)))
}

fn explain(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    let lines = lines_of_service(args, stdin)?;
    Ok(Output::success(output_format(args).render(&lines, format_timeline)))
}

fn lines_of_service(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Lines, CliError> {
    let service = string_arg(args, "service").unwrap_or_default();
    let lines = read_lines(args, stdin)?.remove(&service);
    lines.ok_or(CliError::NoRollout { service })
}

/// Reads the lines about the latest roll-out of each service.
fn read_lines(
    args: &ArgMatches,
    stdin: &mut dyn Read,
) -> Result<BTreeMap<String, Lines>, CliError> {
    let files: Vec<String> =
        args.get_many::<String>("file").into_iter().flatten().cloned().collect();
    let files = if files.is_empty() { vec!["-".to_owned()] } else { files };
    let mut services: BTreeMap<String, Lines> = BTreeMap::new();
    for file in &files {
        let content = read_text(file, stdin)?;
        for line in content.lines().filter_map(parse) {
            services.entry(line.service.clone()).or_default().push(line);
        }
    }
    for lines in services.values_mut() {
        lines.sort_by_key(|line| line.time_ms);
        keep_latest_order(lines);
    }
    Ok(services)
}

/// Parses the JSON part of a line, ignoring any prefix before it.
fn parse(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Removes the lines about earlier orders, and all but the first report of the latest one.
fn keep_latest_order(lines: &mut Lines) {
    let order_of = |line: &LogLine| match line.event {
        Event::Ordered { order, .. } => Some(order),
        Event::Step(_) | Event::Rejected { .. } => None,
    };
    let Some(latest) = lines.iter().filter_map(order_of).max() else { return };
    let first = lines.iter().position(|line| order_of(line) == Some(latest)).unwrap_or(0);
    lines.drain(..first);
    let mut is_first = true;
    lines.retain(|line| order_of(line).is_none() || std::mem::take(&mut is_first));
}

/// Returns the state that the lines show.
///
/// A node that judges alone has counted far fewer requests than the leader has, so that only steps
/// with at least half of the most requests count.
fn find_state(lines: &[LogLine]) -> State {
    let steps = || {
        lines.iter().filter_map(|line| match &line.event {
            Event::Step(step) => Some(step),
            Event::Ordered { .. } | Event::Rejected { .. } => None,
        })
    };
    let most = steps().map(|step| step.sent).max().unwrap_or(0);
    let step = steps().rfind(|step| step.sent >= most / 2).cloned();
    let rejected = lines.iter().rev().find_map(|line| match &line.event {
        Event::Rejected { reason } => Some(reason.clone()),
        Event::Ordered { .. } | Event::Step(_) => None,
    });
    let ordered = lines.iter().find_map(|line| match &line.event {
        Event::Ordered { to, .. } => Some(to.clone()),
        Event::Step(_) | Event::Rejected { .. } => None,
    });
    State {
        service: lines.first().map(|line| line.service.clone()).unwrap_or_default(),
        to: step.as_ref().map(|step| step.to.clone()).or(ordered).unwrap_or("-".to_owned()),
        state: state_name(step.as_ref(), rejected.is_some()),
        step,
        rejected,
    }
}

fn state_name(step: Option<&Step>, is_rejected: bool) -> &'static str {
    match step.map(|step| step.phase) {
        Some(Phase::Canary) => "canary",
        Some(Phase::Promoting) => "promoting",
        Some(Phase::Completed) => "completed",
        Some(Phase::RolledBack) => "rolled back",
        None if is_rejected => "rejected",
        None => "ordered",
    }
}

fn format_list(states: &Vec<State>) -> String {
    let mut table =
        Table::new(&["SERVICE", "VERSION", "STATE", "SHARE", "SENT", "TO CANARY", "SINCE ORDER"]);
    for state in states {
        let of_step = |cell: fn(&Step) -> String| state.step.as_ref().map_or("-".to_owned(), cell);
        table.row([
            state.service.clone(),
            state.to.clone(),
            state.state.to_owned(),
            of_step(|step| format_share(step.canary_share)),
            of_step(|step| step.sent.to_string()),
            of_step(|step| step.sent_to_canary.to_string()),
            of_step(|step| format!("{} ms", step.since_order_ms)),
        ]);
    }
    table.render()
}

fn format_state(state: &State) -> String {
    let mut text = format!("{} to {}: {}\n", state.service, state.to, state.state);
    if let Some(reason) = &state.rejected {
        _ = writeln!(text, "rejected: {reason}");
    }
    let Some(step) = &state.step else { return text };
    let share = format_share(step.canary_share);
    _ = writeln!(text, "share {share}, {} ms after the order", step.since_order_ms);
    if let Some(reason) = &step.reason {
        _ = writeln!(text, "taken back: {}", describe_reason(reason));
    }
    let mut table = Table::new(&["VERSION", "SENT", "ANSWERED", "FAILED"]);
    let sent_to_stable = step.sent.saturating_sub(step.sent_to_canary);
    let row = |name: &str, counts: [u64; 3]| {
        [name.to_owned(), counts[0].to_string(), counts[1].to_string(), counts[2].to_string()]
    };
    table.row(row("old", [sent_to_stable, step.answered_stable, step.failed_stable]));
    table.row(row(&step.to, [step.sent_to_canary, step.answered_canary, step.failed_canary]));
    text + &table.render()
}

fn format_timeline(lines: &Lines) -> String {
    let start = lines.first().map_or(0, |line| line.time_ms);
    let mut timeline = String::new();
    for line in lines {
        // Writing to a `String` can't fail.
        _ = writeln!(timeline, "+{} ms: {}", line.time_ms - start, describe(&line.event));
    }
    let state = find_state(lines);
    let reason = state.step.as_ref().and_then(|step| step.reason.as_ref());
    let cause = match (reason, &state.rejected) {
        (Some(reason), _) => describe_reason(reason),
        (None, Some(reason)) => reason.clone(),
        (None, None) => format!("none; the roll-out is {}", state.state),
    };
    _ = writeln!(timeline, "cause: {cause}");
    timeline
}

fn describe(event: &Event) -> String {
    match event {
        Event::Ordered { to, duration_ms, order } => {
            format!("version {to} ordered within {duration_ms} ms (order {order})")
        }
        Event::Rejected { reason } => format!("rejected: {reason}"),
        Event::Step(step) => describe_step(step),
    }
}

fn describe_step(step: &Step) -> String {
    let phase = state_name(Some(step), false);
    let share = format_share(step.canary_share);
    let reason = step
        .reason
        .as_ref()
        .map_or(String::new(), |reason| format!("; {}", describe_reason(reason)));
    format!(
        "{phase}, share {share}; {} of {} requests to {}, failed {} of {} there and {} of {} at \
         the old version{reason}",
        step.sent_to_canary,
        step.sent,
        step.to,
        step.failed_canary,
        step.failed_canary + step.answered_canary,
        step.failed_stable,
        step.failed_stable + step.answered_stable,
    )
}

fn describe_reason(reason: &Reason) -> String {
    let on = |route: &Option<String>| {
        route.as_ref().map_or("over all routes".to_owned(), |route| format!("on route {route}"))
    };
    match reason {
        Reason::Failures { route } => format!("it fails more often than the old one {}", on(route)),
        Reason::Latency { route } => {
            format!("it answers more slowly than the old one {}", on(route))
        }
        Reason::NotEnoughEvidence => "too little was known of it before the deadline".to_owned(),
    }
}

fn format_share(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
