//! Entry point of the `lycheelatch` command line.

use std::{
    io::{Write, stderr, stdin, stdout},
    process::ExitCode,
};

fn main() -> ExitCode {
    let matches = lycheelatch::command().get_matches();
    let mut stdin = stdin();
    let output = actix_rt::System::new().block_on(lycheelatch::run(&matches, &mut stdin));
    let written = stdout()
        .write_all(output.stdout.as_bytes())
        .and_then(|()| stderr().write_all(output.stderr.as_bytes()));
    match written {
        Ok(()) => ExitCode::from(output.code.into_number()),
        Err(_) => ExitCode::from(lycheelatch::Code::Failed.into_number()),
    }
}
