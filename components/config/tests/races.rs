//! Concurrent changes by several operators while the key-value service fails.

mod common;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use common::{
    DelayedKv, change, document, key, read_audit, replay, run, service, store, store_on, views,
};
use futures_util::future::{join, join_all};
use lycheelatch_config::{
    Applied, ApplyEffect, ApplyError, Change, ConfigStore, CurrentConfig, Edit, ObjectKey,
    ObjectKind,
};
use lycheelatch_fakes::{Fault, MemoryKv};
use lycheelatch_prelude::{ChangeId, Revision};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Number of nodes that the operators send changes to.
const NODES: usize = 3;

/// A step of an operator.
#[derive(Debug, Clone)]
enum Step {
    /// Applies a change; `is_pinned` if it expects the latest revision that the operator has seen.
    Apply { is_pinned: bool, object: u8, value: u64 },
    /// Removes an object, which may not exist.
    Remove { object: u8 },
    /// Applies a change that is too large to be stored in the head.
    ApplyLarge { value: u64 },
    /// Sends the last change again, to another node.
    Resend,
    /// Sends the last change again, to two nodes concurrently.
    ResendToTwo,
    /// Waits.
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (any::<bool>(), 0..4_u8, 1..50_u64)
            .prop_map(|(is_pinned, object, value)| Step::Apply { is_pinned, object, value }),
        1 => (0..4_u8).prop_map(|object| Step::Remove { object }),
        1 => (1..50_u64).prop_map(|value| Step::ApplyLarge { value }),
        2 => Just(Step::Resend),
        2 => Just(Step::ResendToTwo),
        1 => (1..3_000_u64).prop_map(|ms| Step::Wait { ms }),
        1 => (60_000..90_000_u64).prop_map(|ms| Step::Wait { ms }),
    ];
    prop::collection::vec(step, 1..8)
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let slow = |ms| Duration::from_millis(ms);
    let fault = prop_oneof![
        8 => Just(Fault::None),
        6 => (1..300_u64).prop_map(move |ms| Fault::Slow(slow(ms))),
        2 => Just(Fault::Refuse),
        3 => Just(Fault::LoseResponse),
        2 => (1..4_000_u64).prop_map(move |ms| Fault::SlowThenLoseResponse(slow(ms))),
        1 => Just(Fault::Silent),
    ];
    prop::collection::vec(fault, 0..80)
}

/// Answers that the operators received, by change.
#[derive(Default)]
struct Answers {
    applied: RefCell<HashMap<ChangeId, Revision>>,
    rejected: RefCell<HashSet<ChangeId>>,
    unknown: RefCell<HashSet<ChangeId>>,
}

impl Answers {
    fn record(&self, id: ChangeId, answer: &Result<Applied, ApplyError>) {
        match answer {
            Ok(applied) if applied.effect == ApplyEffect::Unchanged => {}
            Ok(applied) => {
                let earlier = self.applied.borrow_mut().insert(id, applied.revision);
                assert!(earlier.is_none_or(|r| r == applied.revision), "a change has one revision");
                assert!(applied.snapshot.revision >= applied.revision);
            }
            Err(ApplyError::OutcomeUnknown(unknown, _)) => {
                assert_eq!(*unknown, id);
                self.unknown.borrow_mut().insert(id);
            }
            Err(_) => {
                self.rejected.borrow_mut().insert(id);
            }
        }
    }
}

fn change_of(step: &Step, seen: Revision) -> Option<Change> {
    match step {
        Step::Apply { is_pinned, object, value } => {
            let expected = is_pinned.then_some(seen.0);
            Some(change(expected, vec![service(&format!("service-{object}"), *value)]))
        }
        Step::Remove { object } => {
            let key = key(ObjectKind::Service, &format!("service-{object}"));
            Some(change(None, vec![Edit::Remove(key)]))
        }
        Step::ApplyLarge { value } => {
            let services: Vec<Value> = (0..60)
                .map(|i| {
                    let limits = json!({ "max_queue_ms": value });
                    json!({ "name": format!("large-{i}"), "kind": "plain", "limits": limits })
                })
                .collect();
            Some(change(None, vec![document(json!({ "services": services }))]))
        }
        Step::Resend | Step::ResendToTwo | Step::Wait { .. } => None,
    }
}

/// Runs all operators, each from a node of its own.
async fn run_operators(stores: &[ConfigStore], steps: &[Vec<Step>], answers: &Answers) {
    let runs = steps.iter().enumerate().map(|(i, steps)| run_operator(stores, steps, i, answers));
    join_all(runs).await;
}

async fn run_operator(stores: &[ConfigStore], steps: &[Step], first: usize, answers: &Answers) {
    let mut node = first;
    let mut seen = Revision::default();
    let mut last: Option<Change> = None;
    for step in steps {
        match step {
            Step::Wait { ms } => tokio::time::sleep(Duration::from_millis(*ms)).await,
            Step::Resend | Step::ResendToTwo => node = (node + 1) % NODES,
            step => last = change_of(step, seen),
        }
        if matches!(step, Step::Wait { .. }) {
            continue;
        }
        let Some(change) = last.clone() else { continue };
        let id = change.id;
        if matches!(step, Step::ResendToTwo) {
            let other = stores[(node + 1) % NODES].apply(change.clone());
            let (first, second) = join(stores[node].apply(change), other).await;
            answers.record(id, &first);
            answers.record(id, &second);
            continue;
        }
        let answer = stores[node].apply(change).await;
        answers.record(id, &answer);
        if let Ok(applied) = answer {
            assert!(applied.snapshot.revision >= seen, "an operator sees no lower revision");
            seen = applied.snapshot.revision;
        }
    }
}

/// Polls the configuration as a node does, and returns the views at each revision seen.
async fn poll_config(
    store: &ConfigStore,
    is_over: &Cell<bool>,
) -> BTreeMap<Revision, BTreeMap<ObjectKey, Value>> {
    let current = CurrentConfig::new();
    let mut seen = BTreeMap::new();
    while !is_over.get() {
        let before = current.revision();
        if let Ok(snapshot) = store.load().await {
            let earlier = seen.insert(snapshot.revision, views(&snapshot));
            assert!(earlier.is_none_or(|earlier| earlier == views(&snapshot)));
            current.advance(snapshot);
        }
        assert!(current.revision() >= before, "the revision in force never decreases");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    seen
}

async fn check(kv: &MemoryKv, answers: &Answers) -> Vec<BTreeMap<ObjectKey, Value>> {
    let reader = store(kv);
    let records = read_audit(&reader, 7).await;
    let states = replay(&records);
    assert_eq!(states.last().unwrap(), &views(&reader.load().await.unwrap()));

    let revisions: HashMap<ChangeId, Revision> =
        records.iter().map(|record| (record.id, record.revision)).collect();
    assert_eq!(revisions.len(), records.len(), "the history has no change twice");
    let (applied, unknown) = (answers.applied.borrow(), answers.unknown.borrow());
    for (id, revision) in applied.iter() {
        assert_eq!(revisions.get(id), Some(revision), "an applied change is in the history");
    }
    for id in answers.rejected.borrow().iter() {
        let may_be_applied = applied.contains_key(id) || unknown.contains(id);
        assert!(
            may_be_applied || !revisions.contains_key(id),
            "a rejected change is not in the history"
        );
    }
    for id in revisions.keys() {
        let is_reported = applied.contains_key(id) || unknown.contains(id);
        assert!(is_reported, "a change in the history was reported as applied or unknown");
    }
    states
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    #[test]
    fn apply_concurrent_operators_and_faults(
        operator_steps in prop::collection::vec(steps(), 1..4),
        faults in faults(),
        delays_ms in prop::collection::vec(0..400_u64, 1..20),
    ) {
        run(async {
            let kv = MemoryKv::new();
            kv.faults.script(faults);
            let delayed_kv = DelayedKv::new(&kv, &delays_ms);
            let stores: Vec<ConfigStore> =
                (0..NODES).map(|_| store_on(delayed_kv.clone())).collect();
            let answers = Answers::default();
            let is_over = Cell::new(false);
            let operators = async {
                run_operators(&stores, &operator_steps, &answers).await;
                // Wait for delayed writes to take effect.
                tokio::time::sleep(Duration::from_secs(10)).await;
                is_over.set(true);
            };
            let watcher = store(&kv);
            let ((), seen) = join(operators, poll_config(&watcher, &is_over)).await;
            kv.faults.clear();
            let states = check(&kv, &answers).await;
            for (revision, views) in seen {
                assert_eq!(states[revision.0 as usize], views);
            }
        });
    }

    #[test]
    fn apply_outages_at_any_time(
        operator_steps in prop::collection::vec(steps(), 1..4),
        outages in prop::collection::vec((1..2_000_u64, 1..8_000_u64, any::<bool>()), 1..4),
    ) {
        run(async {
            let kv = MemoryKv::new();
            kv.faults.set_default(Fault::Slow(Duration::from_millis(20)));
            let stores: Vec<ConfigStore> = (0..NODES).map(|_| store(&kv)).collect();
            let answers = Answers::default();
            let operators = async {
                run_operators(&stores, &operator_steps, &answers).await;
                tokio::time::sleep(Duration::from_secs(10)).await;
            };
            let service = async {
                for (up_ms, down_ms, is_silent) in outages {
                    tokio::time::sleep(Duration::from_millis(up_ms)).await;
                    kv.faults.set_default(if is_silent { Fault::Silent } else { Fault::Refuse });
                    tokio::time::sleep(Duration::from_millis(down_ms)).await;
                    kv.faults.set_default(Fault::Slow(Duration::from_millis(20)));
                }
            };
            join(operators, service).await;
            kv.faults.clear();
            check(&kv, &answers).await;
        });
    }
}
