//! Duration of a placement decision by fleet size.
#![allow(missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use support::fleet::Fleet;

fn choose(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    for engines in [9, 100, 1000, 8000] {
        let mut fleet = Fleet::new(engines);
        (0..2000).for_each(|n| drop(fleet.place(n, true)));
        let mut n = 0;
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| {
                n += 1;
                fleet.place(n, false)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choose);
criterion_main!(benches);
