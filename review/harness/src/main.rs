//! Scripts of the independent review: each runs one case and reports it by its exit code.
//!
//! `review-harness CASE PROGRAM FOLDER` starts nodes from PROGRAM and writes `record.txt` to FOLDER.
//! It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run.
//! With `TROUBLE=0` in the environment it leaves the disruption out.

mod duties;
mod link;
mod node;
mod record;
mod stale_holder;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use record::Record;
use tokio::time::timeout;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);

/// Result of a case.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// What a case gets.
struct Setup {
    program: PathBuf,
    /// Temporary folder for settings and logs.
    dir: PathBuf,
    record: Record,
    has_trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, folder] = &args[..] else { return ExitCode::from(2) };
    let dir = std::env::temp_dir().join(format!("lycheelatch-review-{}", std::process::id()));
    if std::fs::create_dir_all(&dir).is_err() {
        return ExitCode::from(2);
    }
    let setup = Setup {
        program: PathBuf::from(program),
        dir: dir.clone(),
        record: Record::create(&PathBuf::from(folder).join("record.txt")),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let record = setup.record.clone();
    let case = case.clone();
    let verdict = actix_rt::System::new().block_on(async move {
        let run = async {
            match case.as_str() {
                "stale-holder" => stale_holder::run(&setup).await,
                other => Verdict::NotRun(format!("there is no case {other}")),
            }
        };
        timeout(LIMIT, run).await.unwrap_or_else(|_| Verdict::NotRun("out of time".to_owned()))
    });
    let _removed =
        if std::env::var("KEEP").is_ok() { Ok(()) } else { std::fs::remove_dir_all(dir) };
    match verdict {
        Verdict::Held => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken(what) => {
            record.line(format!("verdict: the rule was broken: {what}"));
            ExitCode::from(1)
        }
        Verdict::NotRun(why) => {
            record.line(format!("verdict: the case couldn't run: {why}"));
            ExitCode::from(2)
        }
    }
}
