//! The node's process.

use std::process::ExitCode;

fn main() -> ExitCode {
    lycheelatch_daemon::run(std::env::args_os())
}
