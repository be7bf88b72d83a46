//! The command line of `lycheelatchd`.

use std::{ffi::OsString, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, Command, value_parser};
use lycheelatch_settings::{NodeSettings, Settings};

use crate::{Node, StartError, gateway::run_gateway, logging, peers_config, signals::Signals};

fn command() -> Command {
    Command::new("lycheelatchd")
        .about("Runs one node of lycheelatch")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings of the node, in JSON"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

/// Runs the command line and returns its exit code.
///
/// 0: clean exit; 1: the node failed; 2: the settings have errors.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(err) => err.exit(),
    };
    let path = matches.get_one::<PathBuf>("config").expect("required").clone();
    let settings = match read_settings(path.clone()) {
        Ok(settings) => settings,
        Err(err) => return fail(&err, 2),
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    let result = actix::System::new().block_on(async {
        match settings {
            NodeSettings::Proxy(settings) => run_node(settings).await,
            NodeSettings::Gateway(settings) => run_gateway(settings, path).await,
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => fail(&err, 1),
    }
}

fn read_settings(path: PathBuf) -> Result<NodeSettings, StartError> {
    let text = std::fs::read_to_string(&path)
        .map_err(|source| StartError::ReadSettings { path, source })?;
    NodeSettings::from_json(&text).map_err(StartError::Settings)
}

#[expect(clippy::print_stderr, reason = "the log is not open yet")]
fn fail(err: &StartError, code: u8) -> ExitCode {
    match err {
        StartError::Settings(err) => {
            for line in err.lines() {
                eprintln!("lycheelatchd: {line}");
            }
        }
        err => eprintln!("lycheelatchd: {err}"),
    }
    ExitCode::from(code)
}

async fn run_node(settings: Settings) -> Result<(), StartError> {
    let _log = logging::open(&settings.log)?;
    let mut signals = Signals::new()?;
    let peers = peers_config(&settings);
    let node = Node::start(settings, peers).await?;
    tokio::select! {
        () = signals.next() => {}
        () = node.stop_requested() => {}
    }
    log::info!("node: stopping; a second signal exits at once");
    tokio::select! {
        () = node.stop() => {}
        () = signals.next() => log::warn!("node: second signal received, exiting at once"),
    }
    Ok(())
}
