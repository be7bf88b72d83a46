//! Changes, conflicts, limits and the history of the configuration store.

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    DelayedKv, change, document, invalid_fields, key, large_service, read_audit, replay, run,
    service, store, store_on, views, workspace,
};
use futures_util::future::join;
use lycheelatch_config::{
    ApplyEffect, ApplyError, AuditQuery, ConfigError, ConfigStore, Edit, ObjectKind,
};
use lycheelatch_fakes::{Fault, MemoryKv};
use lycheelatch_prelude::Revision;
use lycheelatch_provider::{
    CallClass, KeyValue, KvCallBudget, KvCallLimits, KvKey, MAX_VALUE_BYTES, WatchIndex,
};
use prometheus::Registry;
use serde_json::json;

const TOKEN: &str = "rush-and-reed-of-teifi";

#[test]
fn apply_expected_revision_conflict_lists_intervening_changes() {
    run(async {
        let store = store(&MemoryKv::new());
        store.apply(change(Some(0), vec![service("archeb-app", 1)])).await.unwrap();
        store.apply(change(Some(1), vec![service("sack-desk", 1)])).await.unwrap();
        let err = store.apply(change(Some(1), vec![service("archeb-app", 2)])).await.unwrap_err();
        let ApplyError::Conflict(conflict) = err else { panic!("expected a conflict, got: {err}") };
        assert_eq!(conflict.latest, Revision(2));
        assert_eq!(conflict.intervening.len(), 1);
        assert_eq!(conflict.intervening[0].changes[0].object.name.as_str(), "sack-desk");
    });
}

#[test]
fn apply_lost_answer_is_resolved_by_read() {
    run(async {
        let kv = MemoryKv::new();
        // Calls: read the head, swap with a lost answer, swap with a conflict, read the head.
        kv.faults.script([Fault::None, Fault::LoseResponse]);
        let store = store(&kv);
        let applied = store.apply(change(None, vec![service("archeb-app", 1)])).await.unwrap();
        assert_eq!(applied.effect, ApplyEffect::Committed);
        assert_eq!(applied.revision, Revision(1));
        assert_eq!(read_audit(&store, 10).await.len(), 1);
    });
}

#[test]
fn apply_lost_answer_then_outage_is_unknown_until_retried() {
    run(async {
        let kv = MemoryKv::new();
        kv.faults.script([Fault::None, Fault::LoseResponse]);
        kv.faults.set_default(Fault::Refuse);
        let change = change(None, vec![service("archeb-app", 1)]);
        let err = store(&kv).apply(change.clone()).await.unwrap_err();
        assert!(matches!(err, ApplyError::OutcomeUnknown(id, _) if id == change.id));
        kv.faults.clear();
        let applied = store(&kv).apply(change).await.unwrap();
        assert_eq!(applied.effect, ApplyEffect::AlreadyApplied);
        assert_eq!(applied.revision, Revision(1));
    });
}

#[test]
fn apply_unresponsive_service_fails_in_time() {
    run(async {
        let kv = MemoryKv::new();
        kv.faults.set_default(Fault::Silent);
        let started = tokio::time::Instant::now();
        let err = store(&kv).apply(change(None, vec![service("a", 1)])).await.unwrap_err();
        assert!(matches!(err, ApplyError::NotApplied(_)));
        assert!(started.elapsed() < Duration::from_secs(10));
    });
}

#[test]
fn apply_without_effect_creates_no_revision() {
    run(async {
        let kv = MemoryKv::new();
        let store = store(&kv);
        store.apply(change(None, vec![service("archeb-app", 1)])).await.unwrap();
        let writes = kv.calls().writes;
        let applied = store.apply(change(None, vec![service("archeb-app", 1)])).await.unwrap();
        assert_eq!(applied.effect, ApplyEffect::Unchanged);
        assert_eq!(kv.calls().writes, writes);
    });
}

#[test]
fn apply_invalid_reports_all_errors() {
    run(async {
        let store = store(&MemoryKv::new());
        let edit = document(json!({
            "services": [
                { "name": "sack-model", "kind": "model", "limits": { "retry_percent": 101 } },
                { "name": "sack-desk", "kind": "plain", "model": { "model": "m", "version": "1" } },
            ],
            "workspaces": [{ "name": "lima", "weight": 0, "services": ["no-such"] }],
            "rules": [{ "name": "r", "service": "nor-this", "effect": { "weight": { "percent": 20000 } } }],
        }));
        let fields = invalid_fields(store.apply(change(None, vec![edit])).await.unwrap_err());
        assert_eq!(
            fields,
            [
                "services[sack-desk].model",
                "services[sack-model].limits.retry_percent",
                "services[sack-model].model",
                "workspaces[lima].weight",
                "workspaces[lima].services[0]",
                "rules[r].service",
                "rules[r].effect.weight.percent",
            ]
        );
    });
}

#[test]
fn apply_removal_of_used_service_is_rejected() {
    run(async {
        let store = store(&MemoryKv::new());
        let rule = document(json!({
            "rules": [{ "name": "r", "service": "archeb-app", "effect": "require" }],
        }));
        store.apply(change(None, vec![service("archeb-app", 1), rule])).await.unwrap();
        let removal = Edit::Remove(key(ObjectKind::Service, "archeb-app"));
        let fields = invalid_fields(store.apply(change(None, vec![removal])).await.unwrap_err());
        assert_eq!(fields, ["rules[r].service"]);
    });
}

#[test]
fn apply_removal_of_missing_object_is_rejected() {
    run(async {
        let removal = Edit::Remove(key(ObjectKind::Rule, "no-such"));
        let store = store(&MemoryKv::new());
        let fields = invalid_fields(store.apply(change(None, vec![removal])).await.unwrap_err());
        assert_eq!(fields, ["rules"]);
    });
}

#[test]
fn apply_token_is_hashed_and_hidden() {
    run(async {
        let kv = MemoryKv::new();
        let store = store(&kv);
        let edit = || workspace("lima", json!([{ "token": TOKEN }]));
        let applied = store.apply(change(None, vec![edit()])).await.unwrap();
        assert_eq!(applied.snapshot.workspace_of_token(TOKEN).unwrap().name.as_str(), "lima");

        let hash = String::from(applied.snapshot.workspaces["lima"].tokens[0].clone());
        let audit = serde_json::to_string(&read_audit(&store, 10).await).unwrap();
        let visible = format!("{audit}{:?}{:?}", views(&applied.snapshot), applied.changes);
        assert!(!visible.contains(TOKEN) && !visible.contains(&hash));
        assert!(visible.contains(&applied.snapshot.workspaces["lima"].tokens[0].id().to_string()));
        let stored = format!("{:?}", kv.peek(""));
        assert!(!stored.contains(TOKEN));

        let again = store.apply(change(None, vec![edit()])).await.unwrap();
        assert_eq!(again.effect, ApplyEffect::Unchanged, "the same token keeps its hash");
    });
}

#[test]
fn apply_viewed_workspace_keeps_its_tokens() {
    run(async {
        let store = store(&MemoryKv::new());
        let edit = workspace("lima", json!([{ "token": TOKEN }]));
        let applied = store.apply(change(None, vec![edit])).await.unwrap();
        let view = views(&applied.snapshot).into_values().next().unwrap();
        let again = document(json!({ "workspaces": [view] }));
        let again = store.apply(change(None, vec![again])).await.unwrap();
        assert_eq!(again.effect, ApplyEffect::Unchanged);

        let without_tokens = document(json!({ "workspaces": [{ "name": "lima", "weight": 7 }] }));
        let applied = store.apply(change(None, vec![without_tokens])).await.unwrap();
        assert!(applied.snapshot.workspace_of_token(TOKEN).is_some());
    });
}

#[test]
fn apply_token_of_other_workspace_is_rejected() {
    run(async {
        let store = store(&MemoryKv::new());
        let edit = workspace("lima", json!([{ "token": TOKEN }]));
        store.apply(change(None, vec![edit])).await.unwrap();
        let edit = workspace("cusco", json!([{ "token": TOKEN }]));
        let err = store.apply(change(None, vec![edit])).await.unwrap_err();
        assert!(!err.to_string().contains(TOKEN));
        assert_eq!(invalid_fields(err), ["workspaces[cusco].tokens[0]"]);
    });
}

#[test]
fn apply_larger_than_one_value_is_atomic_and_bounded() {
    run(async {
        let kv = MemoryKv::new();
        let writer = store(&kv);
        let edits = (0..60).map(|i| Edit::Put(large_service(&format!("s{i}"), 50_000))).collect();
        let applied = writer.apply(change(None, edits)).await.unwrap();
        assert!(applied.snapshot.encode().len() > 2 * MAX_VALUE_BYTES);
        for entry in kv.peek("") {
            assert!(entry.value.len() <= MAX_VALUE_BYTES / 2, "{} is large", entry.key);
        }
        let reader = store(&kv);
        assert_eq!(reader.load().await.unwrap(), *applied.snapshot);
        assert_eq!(replay(&read_audit(&reader, 10).await)[1], views(&applied.snapshot));
    });
}

#[test]
fn apply_import_within_budget_of_one_of_390_nodes() {
    run(async {
        let kv = MemoryKv::new();
        let limits = KvCallLimits::default();
        let budget = KvCallBudget::new(Arc::new(kv.clone()), limits, &Registry::new()).unwrap();
        budget.set_member_count(390);
        let store = ConfigStore::new(budget.for_class(CallClass::Configuration));
        let edits = (0..70).map(|i| Edit::Put(large_service(&format!("s{i}"), 50_000))).collect();
        store.apply(change(None, edits)).await.unwrap();
        for i in 0..20 {
            // Mean time between changes at 5,900 changes per day.
            tokio::time::sleep(Duration::from_millis(14_600)).await;
            store.apply(change(None, vec![service("s0", i + 2)])).await.unwrap();
        }
    });
}

#[test]
fn apply_too_large_is_rejected() {
    run(async {
        let kv = MemoryKv::new();
        let edits = (0..200).map(|i| Edit::Put(large_service(&format!("s{i}"), 50_000))).collect();
        let err = store(&kv).apply(change(None, edits)).await.unwrap_err();
        assert!(matches!(err, ApplyError::TooLarge { .. }), "{err}");
        assert_eq!(kv.peek("").len(), 0);
    });
}

#[test]
fn apply_calls_do_not_grow_with_configuration() {
    run(async {
        for objects in [1, 100, 2_000] {
            let kv = MemoryKv::new();
            let store = store(&kv);
            let edits = (0..objects).map(|i| service(&format!("s{i}"), 1)).collect();
            store.apply(change(None, edits)).await.unwrap();
            for i in 0..100 {
                let before = kv.calls();
                store.apply(change(None, vec![service("s0", i + 2)])).await.unwrap();
                let after = kv.calls();
                // The head and, for some changes, the open page and the two pages read to choose a
                // jump pointer.
                assert!(after.reads - before.reads <= 4, "{objects} objects, change {i}");
                // A part, a page that becomes full, the page after it, and the head.
                assert!(after.writes - before.writes <= 4, "{objects} objects, change {i}");
            }
        }
    });
}

#[test]
fn apply_old_values_are_deleted_later() {
    run(async {
        let kv = MemoryKv::new();
        let store = store(&kv);
        let edits = (0..500).map(|i| service(&format!("s{i}"), 1)).collect();
        store.apply(change(None, edits)).await.unwrap();
        let parts = kv.peek("config/part/").len();
        for i in 0..200 {
            store.apply(change(None, vec![service(&format!("s{i}"), 2)])).await.unwrap();
            tokio::time::sleep(Duration::from_secs(5)).await;
        }
        // Replaced parts are kept for a minute, in which twelve changes are made.
        assert!(kv.peek("config/part/").len() <= parts + 14);
        let audit = read_audit(&store, 200).await;
        assert_eq!(audit.len(), 201);
        // Timers have a resolution of one millisecond.
        assert!((995_000..995_200).contains(&(audit[200].at.0 - audit[1].at.0)));
        assert_eq!(common::store(&kv).load().await.unwrap(), store.load().await.unwrap());
    });
}

#[test]
fn history_pages_over_many_changes() {
    run(async {
        let kv = MemoryKv::new();
        let writer = store(&kv);
        for i in 0..1_500 {
            writer.apply(change(None, vec![service("archeb-app", i + 1)])).await.unwrap();
        }
        let reader = store(&kv);
        let records = read_audit(&reader, 200).await;
        assert_eq!(records.len(), 1_500);
        replay(&records);

        let page = reader.history(Some(Revision(700)), 3).await.unwrap();
        let revisions: Vec<u64> = page.entries.iter().map(|entry| entry.revision.0).collect();
        assert_eq!(revisions, [699, 698, 697]);
        assert_eq!(page.next, Some(Revision(697)));
        let reads = kv.calls().reads;
        let oldest = reader.history(Some(Revision(2)), 3).await.unwrap();
        assert_eq!(oldest.entries.len(), 1);
        assert_eq!(oldest.next, None);
        assert!(kv.calls().reads - reads <= 8, "a search follows jump pointers");
    });
}

#[test]
fn audit_filters_by_author_and_object() {
    run(async {
        let store = store(&MemoryKv::new());
        store.apply(change(None, vec![service("a", 1)])).await.unwrap();
        let mut by_other = change(None, vec![service("b", 1)]);
        by_other.author = "rosa".parse().unwrap();
        store.apply(by_other).await.unwrap();
        let author = Some("rosa".parse().unwrap());
        let query = AuditQuery { limit: 10, author, ..AuditQuery::default() };
        let page = store.audit(&query).await.unwrap();
        assert_eq!(page.records.len(), 1);
        assert_eq!(page.records[0].revision, Revision(2));
        let object = Some(key(ObjectKind::Service, "a"));
        let query = AuditQuery { limit: 10, object, ..AuditQuery::default() };
        assert_eq!(store.audit(&query).await.unwrap().records[0].revision, Revision(1));
    });
}

#[test]
fn diff_lists_each_object_once() {
    run(async {
        let store = store(&MemoryKv::new());
        for i in 1..=5 {
            store.apply(change(None, vec![service("a", i), service("b", 1)])).await.unwrap();
        }
        let changes = store.diff(Revision(1), Revision(4)).await.unwrap();
        assert_eq!(changes.len(), 1);
        assert_eq!(changes[0].before.as_ref().unwrap()["limits"]["max_queue_ms"], 1);
        assert_eq!(changes[0].after.as_ref().unwrap()["limits"]["max_queue_ms"], 4);
    });
}

#[test]
fn load_lower_revision_is_rejected() {
    run(async {
        let kv = MemoryKv::new();
        let store = store(&kv);
        store.apply(change(None, vec![service("a", 1)])).await.unwrap();
        store.raise_min_revision(Revision(5));
        let regressed = ConfigError::RevisionRegressed { seen: Revision(5), found: Revision(1) };
        assert_eq!(store.load().await.unwrap_err(), regressed);
        let err = store.apply(change(None, vec![service("a", 2)])).await.unwrap_err();
        assert_eq!(err, ApplyError::NotApplied(regressed));
    });
}

#[test]
fn load_overtaken_by_peer_revision_is_no_regression() {
    run(async {
        let kv = MemoryKv::new();
        store(&kv).apply(change(None, vec![service("a", 1)])).await.unwrap();
        let reader = store_on(DelayedKv::new(&kv, &[100]));
        let report_from_peer = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            reader.raise_min_revision(Revision(2));
        };
        let (loaded, ()) = join(reader.load(), report_from_peer).await;
        assert_eq!(loaded.unwrap().revision, Revision(1));
        assert!(reader.load().await.is_err(), "a read after the report is rejected");
    });
}

#[test]
fn apply_sweeps_orphaned_parts() {
    run(async {
        let kv = MemoryKv::new();
        let store = store(&kv);
        let edits = (0..100).map(|i| service(&format!("s{i}"), 1)).collect();
        store.apply(change(None, edits)).await.unwrap();
        let orphan = KvKey::new("config/part/019b2c00-0000-7000-8000-000000000000");
        kv.compare_and_swap(&orphan, None, "[]".into()).await.unwrap();
        for i in 2..=1_024 {
            assert!(kv.get(&orphan).await.unwrap().is_some());
            store.apply(change(None, vec![service("s0", i)])).await.unwrap();
        }
        assert!(kv.get(&orphan).await.unwrap().is_none());
        // A new store has no cached parts, so it reads all of them.
        assert_eq!(common::store(&kv).load().await.unwrap(), store.load().await.unwrap());
    });
}

#[test]
fn load_invalid_head_error_has_key() {
    run(async {
        let kv = MemoryKv::new();
        kv.compare_and_swap(&KvKey::new("config/head"), None, "{".into()).await.unwrap();
        let err = store(&kv).load().await.unwrap_err();
        assert!(
            matches!(err, ConfigError::InvalidStoredValue { key, .. } if key.as_str() == "config/head")
        );
    });
}

#[test]
fn watch_returns_each_change_once() {
    run(async {
        let kv = MemoryKv::new();
        let store = store(&kv);
        let wait = Duration::from_secs(30);
        let (index, snapshot) = store.watch(WatchIndex(0), wait).await.unwrap();
        assert_eq!(snapshot, None);
        store.apply(change(None, vec![service("a", 1)])).await.unwrap();
        let (index, snapshot) = store.watch(index, wait).await.unwrap();
        assert_eq!(snapshot.unwrap().revision, Revision(1));
        let (_, snapshot) = store.watch(index, wait).await.unwrap();
        assert_eq!(snapshot, None);
    });
}
