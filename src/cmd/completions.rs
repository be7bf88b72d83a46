//! `lycheelatch completions`: prints a completion script for a shell.

use clap::ArgMatches;
use clap_complete::Shell;

use crate::{Output, command};

pub(super) fn run(args: &ArgMatches) -> Output {
    let shell = *args.get_one::<Shell>("shell").expect("clap requires a shell");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), "lycheelatch", &mut script);
    Output::success(String::from_utf8_lossy(&script).into_owned())
}
