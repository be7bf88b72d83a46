//! Prints how many tokens are recomputed in a reclaim wave, as ratios.

#![allow(clippy::print_stdout)]

use std::time::Duration;

#[path = "../tests/common/wave.rs"]
mod wave;

use wave::{Outcome, Wave};

const SEEDS: u64 = 3;

fn main() {
    println!("ratios over {SEEDS} seeds; 7 nodes, 9 runners, one of four zones is reclaimed");
    println!(
        "notice export   affected lost wrong late  /(a)all  /finish-or-recompute  /(b)oracle  longest gap"
    );
    for notice in [2, 3] {
        for megabytes in [800, 1_250] {
            for error in [0, 20] {
                print_row(notice, megabytes, error);
            }
        }
    }
}

fn print_row(notice: u64, megabytes: u64, error: u64) {
    let wave = |seed, allows_moves| Wave {
        seed,
        allows_moves,
        length_error_percent: error,
        notice: Duration::from_secs(notice),
        export_bytes_per_second: megabytes * 1_000_000,
        ..Wave::default()
    };
    let planned = sum((1..=SEEDS).map(|seed| run(wave(seed, true))));
    let unmoved = sum((1..=SEEDS).map(|seed| run(wave(seed, false))));
    let ratio = |a: u64, b: u64| a as f64 / b.max(1) as f64;
    println!(
        "{notice} s  {megabytes:>5} MB/s {error:>3} % {:>6} {:>4} {:>5} {:>4} {:>8.3} {:>12.3} {:>18.3} {:>9} ms",
        planned.affected,
        planned.lost,
        planned.wrong_tokens,
        planned.late_requests,
        ratio(planned.recomputed, planned.all_recomputed),
        ratio(planned.recomputed, unmoved.recomputed),
        ratio(planned.recomputed, planned.oracle),
        planned.longest_gap_ms,
    );
}

fn run(wave: Wave) -> Outcome {
    actix::System::new().block_on(async move {
        tokio::time::pause();
        wave::run(&wave).await
    })
}

fn sum(outcomes: impl Iterator<Item = Outcome>) -> Outcome {
    outcomes.fold(Outcome::default(), |a, b| Outcome {
        accepted: a.accepted + b.accepted,
        lost: a.lost + b.lost,
        wrong_tokens: a.wrong_tokens + b.wrong_tokens,
        recomputed: a.recomputed + b.recomputed,
        all_recomputed: a.all_recomputed + b.all_recomputed,
        oracle: a.oracle + b.oracle,
        affected: a.affected + b.affected,
        late_requests: a.late_requests + b.late_requests,
        longest_gap_ms: a.longest_gap_ms.max(b.longest_gap_ms),
    })
}
