//! Entry point of `lycheelatchd`.

use std::process::ExitCode;

fn main() -> ExitCode {
    lycheelatch_daemon::run(std::env::args_os())
}
