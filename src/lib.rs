//! Command line for operators.
//!
//! [`run`] executes one invocation and returns its output and exit code, so
//! that tests can call it without starting a process.

mod cli;
mod client;
mod cmd;
mod error;
mod output;
mod settings;

use std::io::Read;

use clap::ArgMatches;

pub use cli::command;
pub use error::{CliError, Code};
pub use output::Output;

/// Runs the subcommand selected in `matches`.
pub async fn run(matches: &ArgMatches, stdin: &mut dyn Read) -> Output {
    match cmd::run(matches, stdin).await {
        Ok(output) => output,
        Err(err) => err.into_output(),
    }
}
