//! Runs real nodes under faults and checks what callers and upstreams see.

mod check;
mod faults;
mod load;
mod nodes;
mod world;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::{Arg, Command, value_parser};

use crate::world::World;

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
            Arg::new("node")
                .long("node")
                .value_parser(value_parser!(PathBuf))
                .help("Program of a node; by default the one beside this program"),
        )
}

#[expect(clippy::print_stdout, reason = "the report")]
fn main() -> ExitCode {
    let matches = command().get_matches();
    let seed = *matches.get_one::<u64>("seed").expect("has a default");
    let seconds = *matches.get_one::<u64>("seconds").expect("has a default");
    let node = matches.get_one::<PathBuf>("node").cloned().unwrap_or_else(beside);
    let report = actix_rt::System::new().block_on(async {
        let world = World::start(seed, node).await;
        world.run(Duration::from_secs(seconds)).await
    });
    println!("{report}");
    if report.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Returns the node's program beside this one.
fn beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("lycheelatchd")
}
