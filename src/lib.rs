//! The operators' command line.
//!
//! [`run`] does the whole work of one call and returns what to print and the
//! exit code, so that tests call it without a process.

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

/// Runs the subcommand that `matches` name.
pub async fn run(matches: &ArgMatches, stdin: &mut dyn Read) -> Output {
    match cmd::run(matches, stdin).await {
        Ok(output) => output,
        Err(err) => err.into_output(),
    }
}
