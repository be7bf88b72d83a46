//! Runs node processes under faults and checks the records of callers and upstreams.

mod check;
mod cluster;
mod crashing_part;
mod faults;
mod leaders;
mod load;
mod named_limits;
mod nodes;
mod restored_store;
mod rollouts;
mod taken_up;
mod upstream_processes;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::{Arg, Command, value_parser};
use lycheelatch_fakes::entry::serve_as_process;

use crate::cluster::{Cluster, Scenario};

fn command() -> Command {
    Command::new("lycheelatch-soak")
        .about("Runs real nodes under faults and checks what callers and upstreams see")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of the faults; the same one replays them"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(5..))
                .default_value("30")
                .help("Time under faults, in seconds"),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_parser([
                    "faults",
                    "crashing-part",
                    "crashing-processes",
                    "named-limits",
                    "rollout",
                    "restored-store",
                    "taken-up",
                ])
                .default_value("faults")
                .help("What happens beside the faults")
                .long_help(
                    "What happens beside the faults: nothing; upstreams crash on requests whose prompt \
                     holds one part, in this process or in processes of their own; upstreams name limits of requests a second; a bad and a good \
                     version are rolled out; the store comes back from a copy, again and again; or \
                     clients take streams up at other nodes, while versions and shares change and \
                     nodes are cut off together",
                ),
        )
        .arg(
            Arg::new("node")
                .long("node")
                .value_parser(value_parser!(PathBuf))
                .help("Program of a node; by default the one beside this program"),
        )
}

#[expect(clippy::print_stdout, reason = "the report is the output of the program")]
fn main() -> ExitCode {
    actix_rt::System::new().block_on(serve_as_process());
    let matches = command().get_matches();
    let seed = *matches.get_one::<u64>("seed").expect("has a default");
    let seconds = *matches.get_one::<u64>("seconds").expect("has a default");
    let scenario = match matches.get_one::<String>("scenario").map(String::as_str) {
        Some("crashing-part") => Scenario::CrashingPart,
        Some("crashing-processes") => Scenario::CrashingProcesses,
        Some("named-limits") => Scenario::NamedLimits,
        Some("rollout") => Scenario::Rollout,
        Some("restored-store") => Scenario::RestoredStore,
        Some("taken-up") => Scenario::TakenUp,
        _ => Scenario::Faults,
    };
    let node = matches.get_one::<PathBuf>("node").cloned().unwrap_or_else(default_node_program);
    let report = actix_rt::System::new().block_on(async {
        let cluster = Cluster::start(seed, node, scenario).await;
        cluster.run(Duration::from_secs(seconds)).await
    });
    println!("{report}");
    if report.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Returns the path of `lycheelatchd` in the directory of this program.
fn default_node_program() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("lycheelatchd")
}
