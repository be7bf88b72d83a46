//! How a node that starts learns the highest revision.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use futures_util::future::join_all;
use lycheelatch_prelude::{NodeId, Revision, ZoneName};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout};

use super::{
    FROM_STORE, Shared,
    watchers::{informants, watchers},
};
use crate::{Members, PeerError};

/// Pause after the first round without a result; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between rounds.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Time that a node has to meet others before it reads from the service.
const MEET_TIME: Duration = Duration::from_millis(1_500);
/// Time between looks whether it has met others.
const MEET_CHECK: Duration = Duration::from_millis(50);
/// Time that reading the whole configuration from the service may take.
const LOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// What a peer said: its revision, or that it knows none.
type Answer = Result<Option<Revision>, PeerError>;

/// Asks peers, then the key-value service, until this node is ready.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut pause = FIRST_PAUSE;
    while !*shared.ready.borrow() {
        if ask_peers(&shared).await || load(&shared).await {
            shared.set_ready();
            return;
        }
        sleep(pause.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Asks the watchers of every zone and the neighbours.
///
/// Returns whether the answers tell the highest revision and it is in force here.
async fn ask_peers(shared: &Shared) -> bool {
    let members = others(shared).await;
    let asked = informants(shared.link.local(), &shared.neighbours(), &members);
    let pulls = asked.iter().map(|id| async move { (id.clone(), shared.pull(id).await) });
    let answers: Vec<(NodeId, Answer)> = join_all(pulls).await;
    match highest(shared.link.local(), &members, &answers) {
        Some(revision) => shared.current.revision() >= revision,
        None => false,
    }
}

/// Returns the members, once another one is known or a little time has passed.
async fn others(shared: &Shared) -> Arc<Members> {
    let deadline = Instant::now() + MEET_TIME;
    loop {
        let members = shared.link.members();
        if members.0.len() > 1 || Instant::now() >= deadline {
            return members;
        }
        sleep(MEET_CHECK).await;
    }
}

/// Returns the highest revision among the answers, if each zone with other nodes answered.
///
/// An answer may be that a peer knows no revision, as in a zone that was replaced whole.
fn highest(local: &NodeId, members: &Members, answers: &[(NodeId, Answer)]) -> Option<Revision> {
    let zone_of = |id: &NodeId| members.0.get(id).map(|m| m.zone.clone());
    let heard: BTreeSet<ZoneName> = answers
        .iter()
        .filter(|(_, answer)| answer.is_ok())
        .filter_map(|(id, _)| zone_of(id))
        .collect();
    let has_others = |ids: &[NodeId]| ids.iter().any(|id| id != local);
    let is_silent = |zone: &ZoneName, ids: &[NodeId]| has_others(ids) && !heard.contains(zone);
    if watchers(members).iter().any(|(zone, ids)| is_silent(zone, ids)) {
        return None;
    }
    answers.iter().filter_map(|(_, answer)| answer.clone().ok().flatten()).max()
}

async fn load(shared: &Shared) -> bool {
    match timeout(LOAD_TIMEOUT, shared.store.load()).await {
        Ok(Ok(snapshot)) => {
            shared.advance(snapshot, FROM_STORE);
            true
        }
        Ok(Err(err)) => {
            log::warn!("config: not ready, the key-value service can't be read: {err}");
            false
        }
        Err(_) => {
            log::warn!("config: not ready, the key-value service does not answer");
            false
        }
    }
}
