//! Parsing of generated platform responses.

use lycheelatch_fakes::FuzzInputs;
use lycheelatch_provider::{
    Entry, ListedInstance, ReclaimNotice,
    wire::{InstanceListWire, KvEntryWire, ReclaimNoticeWire},
};
use tokio::time::Instant;

const INPUTS: usize = 5_000;

const ENTRY: &[u8] = br#"{"Key":"a/b","Value":"YWJj","ModifyIndex":2,"Session":"s"}"#;

const INSTANCES: &[u8] = br#"{"instances":[{"instance":"i-1","upstream":"u-1",
"service":"orders","addr":"127.0.0.1:80","zone":"a","region":"r","class":"standard",
"purchase":"reclaimable","state":"live","labels":{"zone":"a"}}]}"#;

const NOTICE: &[u8] = br#"{"sequence":1,"instance":"i-1","remaining_ms":30000}"#;

#[test]
fn from_slice_samples_are_accepted() {
    assert!(Entry::try_from(serde_json::from_slice::<KvEntryWire>(ENTRY).unwrap()).is_ok());
    assert_eq!(serde_json::from_slice::<InstanceListWire>(INSTANCES).unwrap().instances.len(), 1);
    assert!(serde_json::from_slice::<ReclaimNoticeWire>(NOTICE).is_ok());
}

#[test]
fn from_slice_generated_response_does_not_panic() {
    let samples = vec![ENTRY.to_vec(), INSTANCES.to_vec(), NOTICE.to_vec()];
    for input in FuzzInputs::new(samples).take(INPUTS) {
        if let Ok(entry) = serde_json::from_slice::<KvEntryWire>(&input) {
            let _ = Entry::try_from(entry);
        }
        if let Ok(list) = serde_json::from_slice::<InstanceListWire>(&input) {
            list.instances.into_iter().map(ListedInstance::from).for_each(drop);
        }
        if let Ok(notice) = serde_json::from_slice::<ReclaimNoticeWire>(&input) {
            let remaining = ReclaimNotice::from(notice).remaining;
            assert!(Instant::now().checked_add(remaining).is_some());
        }
    }
}
