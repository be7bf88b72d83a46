//! Deltas and snapshots that a node receives out of order, duplicated or not at all.

mod common;

use lycheelatch_config::{
    CurrentConfig, Delta, DeltaError, Edit, Object, ObjectKind, Snapshot, plan,
};
use lycheelatch_prelude::Revision;
use proptest::prelude::*;

fn edits() -> impl Strategy<Value = Vec<(u8, Option<u64>)>> {
    prop::collection::vec((0..6_u8, prop::option::weighted(0.8, 1..20_u64)), 1..4)
}

/// Returns the snapshot at each revision of a history with one revision per step.
fn history(steps: &[Vec<(u8, Option<u64>)>]) -> Vec<Snapshot> {
    let mut history = vec![Snapshot::default()];
    for step in steps {
        let base = history.last().unwrap();
        let mut after = base.clone();
        for (object, value) in step {
            let name = format!("service-{object}");
            match value {
                Some(value) => {
                    let planned = plan(&after, &[common::service(&name, *value)]).unwrap();
                    after = planned.snapshot;
                }
                None => {
                    after.remove(&common::key(ObjectKind::Service, &name));
                }
            }
        }
        after.revision = base.revision.next();
        history.push(after);
    }
    history
}

/// A message from another node.
#[derive(Debug, Clone)]
enum Message {
    Delta { from: prop::sample::Index, to: prop::sample::Index },
    Snapshot(prop::sample::Index),
}

fn messages() -> impl Strategy<Value = Vec<Message>> {
    let message = prop_oneof![
        4 => any::<(prop::sample::Index, prop::sample::Index)>()
            .prop_map(|(from, to)| Message::Delta { from, to }),
        1 => any::<prop::sample::Index>().prop_map(Message::Snapshot),
    ];
    prop::collection::vec(message, 0..40)
}

fn receive(current: &CurrentConfig, bytes: &[u8], is_delta: bool) {
    let snapshot = if is_delta {
        Delta::decode(bytes).and_then(|delta| current.get().apply_delta(&delta))
    } else {
        Snapshot::decode(bytes)
    };
    if let Ok(snapshot) = snapshot {
        current.advance(snapshot);
    }
}

proptest! {
    #[test]
    fn apply_delta_turns_before_into_after(steps in prop::collection::vec(edits(), 1..6)) {
        let history = history(&steps);
        for (i, before) in history.iter().enumerate() {
            for after in &history[i + 1..] {
                let delta = Delta::decode(&Delta::between(before, after).encode()).unwrap();
                prop_assert_eq!(&before.apply_delta(&delta).unwrap(), after);
            }
        }
    }

    #[test]
    fn receive_any_order_loss_and_duplication(
        steps in prop::collection::vec(edits(), 1..8),
        messages in messages(),
    ) {
        let history = history(&steps);
        let current = CurrentConfig::new();
        for message in messages {
            let before = current.revision();
            match message {
                Message::Delta { from, to } => {
                    let delta = Delta::between(from.get(&history), to.get(&history));
                    receive(&current, &delta.encode(), true);
                }
                Message::Snapshot(at) => receive(&current, &at.get(&history).encode(), false),
            }
            let now = current.get();
            prop_assert!(now.revision >= before);
            prop_assert_eq!(now.as_ref(), &history[now.revision.0 as usize]);
        }
        receive(&current, &history.last().unwrap().encode(), false);
        let now = current.get();
        prop_assert_eq!(now.as_ref(), history.last().unwrap());
    }

    #[test]
    fn decode_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Delta::decode(&bytes);
        let _ = Snapshot::decode(&bytes);
    }
}

#[test]
fn apply_delta_wrong_base_is_rejected() {
    let after = Snapshot { revision: Revision(3), ..Snapshot::default() };
    let delta = Delta::between(&Snapshot { revision: Revision(2), ..Snapshot::default() }, &after);
    let err = Snapshot::default().apply_delta(&delta).unwrap_err();
    assert_eq!(err, DeltaError::WrongBase { needed: Revision(2), found: Revision(0) });
}

#[test]
fn decode_unknown_format_is_rejected() {
    let text = br#"{"format":9,"from":0,"to":1,"puts":[],"removals":[]}"#;
    assert_eq!(Delta::decode(text).unwrap_err(), DeltaError::UnknownFormat(9));
}

#[test]
fn encode_all_object_kinds_round_trips() {
    let text = r#"{
        "services": [{ "name": "sack-model", "kind": "model",
            "model": { "model": "m", "version": "1", "adapter": "a" },
            "fleet": { "classes": [{ "class": "gpu-1", "units_per_second": 0.5 }],
                "min_instances": 1, "max_instances": 9, "labels": { "tier": "gold" } } }],
        "workspaces": [{ "name": "lima", "tokens": [{ "token": "sixteen-bytes-or-more" }],
            "limits": { "max_in_flight": 3 }, "services": ["sack-model"] }],
        "rules": [
            { "name": "a", "effect": { "spread": { "key": "rack" } }, "upstreams": "tier in (gold, tin)" },
            { "name": "b", "effect": "prefer", "service": "sack-model", "requests": "!slow" }]
    }"#;
    let document = lycheelatch_config::Document::from_json(text.as_bytes()).unwrap();
    let snapshot = plan(&Snapshot::default(), &[Edit::Apply(document)]).unwrap().snapshot;
    assert_eq!(snapshot.objects().count(), 4);
    assert!(matches!(snapshot.objects().next(), Some(Object::Service(_))));
    assert_eq!(Snapshot::decode(&snapshot.encode()).unwrap(), snapshot);
}

#[test]
fn advance_notifies_subscribers() {
    let current = CurrentConfig::new();
    let rx = current.subscribe();
    let at = |n| Snapshot { revision: Revision(n), ..Snapshot::default() };
    assert!(current.advance(at(3)));
    assert!(!current.advance(at(3)));
    assert!(!current.advance(at(2)));
    assert_eq!(*rx.borrow(), Revision(3));
}
