//! Prints how plan time, key-value calls and state of a node grow with the size of the fleet.

#![allow(clippy::print_stdout)]

use std::{sync::Arc, time::Duration};

use lycheelatch_fakes::MemoryKv;
use lycheelatch_fleet::{
    ExportLimits, LeavingInstances, Receiver, RunningStream, ShardLease, plan,
};
use tokio::time::Instant;

const REPEATS: u32 = 20;

fn main() {
    print_plan();
    print_state();
    actix::System::new().block_on(print_calls());
}

fn print_plan() {
    println!("streams  microseconds per plan  ratio to 100 streams");
    let base = time_plan(100);
    for count in [12, 100, 200, 500, 1_000] {
        let time = time_plan(count);
        println!("{count:>7} {:>22.0} {:>21.2}", time * 1e6, time / base);
    }
}

fn time_plan(count: usize) -> f64 {
    let stream = |i: usize| RunningStream {
        request: format!("req-{i}").parse().unwrap(),
        prompt_tokens: 400 + (i as u64 * 7_919) % 7_600,
        generated: i as u64 % 300,
        remaining_estimate: Duration::from_millis(2_000 + (i as u64 * 131) % 20_000),
        kv_bytes: (400 + (i as u64 * 7_919) % 7_600) * 131_072,
    };
    let receiver = |i: usize| Receiver {
        id: format!("runner-{i}").parse().unwrap(),
        zone: "lima-a".parse().unwrap(),
        room_tokens: 400_000,
        room_streams: 64,
        prefill_tokens_per_second: 20_000,
    };
    let streams: Vec<_> = (0..count).map(stream).collect();
    let receivers: Vec<_> = (0..32).map(receiver).collect();
    let limits = ExportLimits {
        bytes_per_second: 1_250_000_000,
        transfer_overhead: Duration::from_millis(10),
        notice: Duration::from_secs(3),
        margin: Duration::from_millis(100),
        link_busy: Duration::ZERO,
    };
    let began = Instant::now();
    for _ in 0..REPEATS {
        std::hint::black_box(plan(began, &streams, &limits, &receivers));
    }
    began.elapsed().as_secs_f64() / f64::from(REPEATS)
}

fn print_state() {
    println!("leaving instances  bytes of records  microseconds per digest");
    for count in [100_u64, 1_000, 4_000] {
        let (now, leaving) = (Instant::now(), LeavingInstances::new());
        let notices: Vec<_> = (0..count)
            .map(|i| lycheelatch_provider::ReclaimNotice {
                sequence: lycheelatch_prelude::Sequence(i + 1),
                instance: format!("i-{i:016}").parse().unwrap(),
                remaining: Duration::from_secs(3),
                withdrawn: false,
            })
            .collect();
        let records = leaving.apply_notices(now, &notices);
        // Size of a record and of its entry in the set; identifiers share their strings.
        let bytes = records.len() * (size_of_val(&records[0]) + 18 + 16 + 24);
        let began = Instant::now();
        for _ in 0..REPEATS {
            std::hint::black_box(leaving.digest());
        }
        let digest = began.elapsed().as_secs_f64() / f64::from(REPEATS) * 1e6;
        println!("{count:>17} {bytes:>17} {digest:>24.0}");
    }
}

async fn print_calls() {
    tokio::time::pause();
    println!("shards  key-value calls per second for holders that renew every 5 s");
    for shards in [1, 10, 40] {
        let kv = MemoryKv::new();
        let lease = |i: usize| {
            let node = "node-0".parse().unwrap();
            ShardLease::new(Arc::new(kv.clone()), node, &format!("service-{i}"))
        };
        let leases: Vec<_> = (0..shards).map(lease).collect();
        for lease in &leases {
            lease.try_acquire().await.unwrap();
        }
        let before = kv.calls();
        for _ in 0..60 {
            tokio::time::sleep(Duration::from_secs(5)).await;
            for lease in &leases {
                lease.renew().await.unwrap();
            }
        }
        let calls = kv.calls().writes + kv.calls().reads - before.writes - before.reads;
        println!("{shards:>6} {:>10.2}", calls as f64 / 300.0);
    }
}
