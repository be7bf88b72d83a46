//! Membership messages with generated content: decoding and handling must not fail.

use lycheelatch_fakes::Inputs;
use lycheelatch_peers::{
    MemberDigest, MemberRecord, MemberState, Membership, Message, MessageBody, Update,
};
use lycheelatch_prelude::Incarnation;
use tokio::time::Instant;

const INPUTS: usize = 5_000;

fn record(id: &str) -> MemberRecord {
    MemberRecord {
        id: id.parse().unwrap(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "z1".parse().unwrap(),
        region: "r1".parse().unwrap(),
        incarnation: Incarnation(3),
        leaving: false,
    }
}

fn handle(msg: Message) -> Membership {
    let now = Instant::now();
    let mut node = Membership::new(record("node-1"), Vec::new(), now, 1);
    node.handle(now, &record("node-2").id, msg);
    node.tick(now);
    node
}

fn message(incarnation: u64) -> Message {
    let by = record("node-2").id;
    let incarnation = Incarnation(incarnation);
    let suspect = Update::Suspect { id: record("node-1").id, incarnation, by };
    let entry = MemberDigest { id_hash: 7, incarnation, state: MemberState::Suspect };
    let updates = vec![Update::Alive(record("node-3")), suspect];
    Message { view_digest: 7, updates, body: MessageBody::Sync { digest: vec![entry] } }
}

#[test]
fn handle_suspicion_of_max_incarnation_does_not_overflow() {
    assert_eq!(handle(message(u64::MAX)).incarnation(), Incarnation(u64::MAX));
}

#[test]
fn handle_generated_messages_keep_the_local_member() {
    let samples = [4, u64::MAX].map(|n| postcard::to_stdvec(&message(n)).unwrap()).to_vec();
    for input in Inputs::new(samples).take(INPUTS) {
        if let Ok(msg) = postcard::from_bytes(&input) {
            let node = handle(msg);
            assert!(node.members().0.contains_key(&record("node-1").id));
        }
    }
}
