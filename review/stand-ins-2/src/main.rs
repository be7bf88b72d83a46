//! Plays the cases of the second independent review that are scripts.
//!
//! `review-2 CASE FOLDER REPOSITORY` writes `record.txt` into the folder of the case. It exits with
//! 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With
//! `TROUBLE=0` nothing is disturbed.

mod case_alone;
mod case_completed;
mod case_crashing_bursts;
mod case_crashing_dark;
mod case_crashing_part;
mod case_crashing_steadily;
mod case_moved;
mod case_out_of_step;
mod case_reborn;
mod case_released;
mod case_shares;
mod case_sound_refused;
mod case_taken_up;
mod client;
mod cluster;
mod config;
mod links;
mod names;
mod record;
mod runner;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use case_completed::Condition as Completed;
use case_crashing_steadily::Condition as Steadily;
use case_taken_up::Condition;
use record::Record;
use tokio::time::timeout;

/// Time after which a case that has not ended could not run.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// What a case is played with.
pub struct Setting {
    pub repository: PathBuf,
    pub record: Record,
    /// Whether the disruption comes.
    pub is_troubled: bool,
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, repository] = &args[..] else {
        eprintln!("usage: review-2 CASE FOLDER REPOSITORY");
        return ExitCode::from(2);
    };
    let record = Record::new();
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let repository = PathBuf::from(repository);
    let setting = Setting { repository, record: record.clone(), is_troubled };
    record.line(&format!("{case}, with the disruption: {is_troubled}"));
    let played = timeout(LIMIT, play(case, &setting)).await;
    let verdict = played.unwrap_or(Verdict::NotRun);
    record.show(&format!("{case}: {verdict:?}"));
    record.write(&Path::new(folder).join("record.txt"));
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}

async fn play(case: &str, setting: &Setting) -> Verdict {
    match case {
        "split-route" => case_taken_up::play(setting, Condition::SplitRoute).await,
        "newer-version" => case_taken_up::play(setting, Condition::NewerVersion).await,
        "one-service" => case_taken_up::play(setting, Condition::Plain).await,
        "changed-shares" => case_shares::play(setting).await,
        "node-alone" => case_alone::play(setting).await,
        "out-of-step" => case_out_of_step::play(setting).await,
        "sound-refused" => case_sound_refused::play(setting).await,
        "crashing-part" => case_crashing_part::play(setting).await,
        "crashing-bursts" => case_crashing_bursts::play(setting).await,
        "crashing-until-close" => case_crashing_steadily::play(setting, Steadily::UntilClose).await,
        "crashing-split-route" => case_crashing_steadily::play(setting, Steadily::SplitRoute).await,
        "crashing-plain" => case_crashing_steadily::play(setting, Steadily::Plain).await,
        "completed-alone" => case_completed::play(setting, Completed::CutOff).await,
        "completed-under-load" => case_completed::play(setting, Completed::UnderLoad).await,
        "crashing-dark" => case_crashing_dark::play(setting).await,
        "moved" => case_moved::play(setting).await,
        "released" => case_released::play(setting).await,
        "reborn" => case_reborn::play(setting).await,
        _ => Verdict::NotRun,
    }
}
