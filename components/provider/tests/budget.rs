//! Call budget: total rate, classes and metrics.

use std::{future::Future, sync::Arc, time::Duration};

use futures_util::future::join_all;
use lycheelatch_fakes::{Fault, MemoryKv};
use lycheelatch_provider::{
    CallClass, KeyValue, KvCallBudget, KvCallLimits, KvError, KvKey, Version, WatchIndex,
};
use prometheus::Registry;
use proptest::prelude::*;
use tokio::time::{Instant, sleep};

/// Classes whose calls nodes make without an operator.
const NODE_CLASSES: [CallClass; 3] =
    [CallClass::Claims, CallClass::Leases, CallClass::Registration];

fn run<T>(test: impl Future<Output = T>) -> T {
    actix::System::new().block_on(async {
        tokio::time::pause();
        test.await
    })
}

fn budget(
    kv: &MemoryKv,
    writes_per_second: f64,
    max_wait: Duration,
) -> (Arc<KvCallBudget>, Registry) {
    let registry = Registry::new();
    let limits = KvCallLimits { writes_per_second, reads_per_second: 100.0, max_wait };
    (KvCallBudget::new(Arc::new(kv.clone()), limits, &registry).unwrap(), registry)
}

async fn write(kv: &dyn KeyValue) -> Result<(), KvError> {
    kv.compare_and_swap(&KvKey::new("k"), Some(Version(0)), "v".into()).await.map(|_| ())
}

/// Writes as often as permitted until `end` and returns the number of writes.
async fn flood(kv: Arc<dyn KeyValue>, end: Instant) -> u64 {
    let mut written = 0;
    while Instant::now() < end {
        match write(kv.as_ref()).await {
            Ok(()) => written += 1,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
    written
}

#[test]
fn for_class_flooded_by_another_keeps_its_reserve() {
    run(async {
        let kv = MemoryKv::new();
        let (budget, _) = budget(&kv, 100.0, Duration::from_millis(100));
        let end = Instant::now() + Duration::from_secs(60);
        let claims = (0..20).map(|_| flood(budget.for_class(CallClass::Claims), end));
        let claims = join_all(claims);
        let registration = flood(budget.for_class(CallClass::Registration), end);
        let (_, registration) = futures_util::future::join(claims, registration).await;
        // Half of the share is reserved, a tenth of that for registration: 5 calls per second.
        assert!(registration >= 60 * 5, "{registration}");
    });
}

#[test]
fn set_member_count_divides_the_rate() {
    run(async {
        let kv = MemoryKv::new();
        let (budget, registry) = budget(&kv, 390.0, Duration::ZERO);
        budget.set_member_count(390);
        let start = Instant::now();
        let end = start + Duration::from_secs(600);
        let floods = NODE_CLASSES.map(|class| flood(budget.for_class(class), end));
        let written: u64 = join_all(floods).await.into_iter().sum();
        // An eighth of the calls is reserved for configuration.
        assert!((515..=560).contains(&written), "{written}");
        let configuration = flood(budget.for_class(CallClass::Configuration), end + (end - start));
        let written = configuration.await;
        // The last call of the period may fall just after its end.
        assert!((375 + 158..=375 + 180).contains(&written), "{written}");
        let metrics = prometheus::TextEncoder::new().encode_to_string(&registry.gather()).unwrap();
        assert!(metrics.contains("lycheelatch_kv_share_calls_per_second{kind=\"write\"} 1\n"));
    });
}

#[test]
fn set_member_count_flapping_adds_no_calls() {
    run(async {
        let kv = MemoryKv::new();
        let (budget, _) = budget(&kv, 60.0, Duration::ZERO);
        let end = Instant::now() + Duration::from_secs(60);
        let flap = async {
            for i in 0..120 {
                budget.set_member_count(6 + i % 2 * 3);
                sleep(Duration::from_millis(500)).await;
            }
        };
        let claims = flood(budget.for_class(CallClass::Claims), end);
        let ((), written) = futures_util::future::join(flap, claims).await;
        assert!(written <= 60 * 10, "{written}");
    });
}

#[test]
fn call_over_the_rate_is_throttled_within_max_wait() {
    run(async {
        let kv = MemoryKv::new();
        let (budget, registry) = budget(&kv, 0.5, Duration::from_secs(1));
        let limited = budget.for_class(CallClass::Leases);
        while write(limited.as_ref()).await.is_ok() {}
        let started = Instant::now();
        assert_eq!(write(limited.as_ref()).await, Err(KvError::Throttled));
        assert!(started.elapsed() <= Duration::from_secs(1));
        let metrics = prometheus::TextEncoder::new().encode_to_string(&registry.gather()).unwrap();
        let line = "{call=\"compare-and-swap\",class=\"leases\",result=\"throttled\"} 2";
        assert!(metrics.contains(line), "{metrics}");
    });
}

#[test]
fn calls_are_counted_by_result() {
    run(async {
        let kv = MemoryKv::new();
        let (budget, registry) = budget(&kv, 100.0, Duration::ZERO);
        let limited = budget.for_class(CallClass::Configuration);
        kv.faults.script([Fault::Refuse, Fault::LoseResponse, Fault::None]);
        let prefix = KvKey::new("config/");
        for _ in 0..3 {
            let _ = limited.watch(&prefix, WatchIndex(0), Duration::ZERO).await;
        }
        let metrics = prometheus::TextEncoder::new().encode_to_string(&registry.gather()).unwrap();
        for result in ["unavailable", "answer-lost", "ok"] {
            let line = format!("{{call=\"watch\",class=\"configuration\",result=\"{result}\"}} 1");
            assert!(metrics.contains(&line), "{metrics}");
        }
        assert_eq!(kv.calls().reads, 3, "a watch counts as one call");
    });
}

#[test]
fn call_cancelled_is_counted() {
    run(async {
        let kv = MemoryKv::new();
        let (budget, registry) = budget(&kv, 100.0, Duration::ZERO);
        kv.faults.set_default(Fault::Silent);
        let limited = budget.for_class(CallClass::Claims);
        let cancelled = tokio::time::timeout(Duration::from_secs(1), write(limited.as_ref())).await;
        assert!(cancelled.is_err());
        let metrics = prometheus::TextEncoder::new().encode_to_string(&registry.gather()).unwrap();
        assert!(metrics.contains("class=\"claims\",result=\"cancelled\"} 1"), "{metrics}");
    });
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn calls_never_exceed_the_share(
        rate in 0.5..200.0_f64,
        callers in prop::collection::vec((0..4_usize, 0..2_000_u64), 1..8),
        seconds in 1..60_u64,
    ) {
        run(async {
            let kv = MemoryKv::new();
            let (budget, _) = budget(&kv, rate, Duration::from_millis(200));
            let end = Instant::now() + Duration::from_secs(seconds);
            let floods = callers.iter().map(|(class, start_ms)| {
                let limited = budget.for_class(CallClass::ALL[*class]);
                async move {
                    sleep(Duration::from_millis(*start_ms)).await;
                    flood(limited, end).await
                }
            });
            let written: u64 = join_all(floods).await.into_iter().sum();
            // Bursts are 10 seconds of the rate and at least two calls per limiter.
            let imports = callers.iter().any(|(class, _)| *class == CallClass::Configuration as usize);
            let import = if imports { 160.0 } else { 0.0 };
            let max = rate * (seconds as f64 + 10.0 + 0.2) + 10.0 + 5.0 + import;
            assert!(written as f64 <= max, "{written} writes, maximum {max}");
            assert_eq!(kv.calls().writes, written);
        });
    }
}
