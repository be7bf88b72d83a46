//! A store that comes back from a copy some seconds old, again and again.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use lycheelatch_fakes::entry::{FakeStore, StoreMode};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::Value;
use tokio::time::sleep;

use crate::cluster::Cluster;

/// Separates the random numbers of restores from those of the other faults.
const RESTORES_SEED: u64 = 0xe7a;

/// Keys that the operator and the upstreams write.
const WRITTEN_AGAIN: [&str; 2] = ["op/", "servers/"];

/// Time after a restore at which entries of upstreams that have left end.
const LAPSE_TIME: Duration = Duration::from_millis(3600);

/// Restores the store until the task is dropped.
pub(crate) async fn restore_forever(cluster: Rc<Cluster>) {
    let mut rng = StdRng::seed_from_u64(cluster.seed() ^ RESTORES_SEED);
    let millis = |rng: &mut StdRng, range| Duration::from_millis(rng.random_range(range));
    loop {
        let copy = cluster.store().copy();
        sleep(millis(&mut rng, 1000..5000)).await;
        cluster.disturb_store();
        cluster.store().set_mode(StoreMode::Unavailable);
        sleep(millis(&mut rng, 100..1200)).await;
        let lost = entries(cluster.store());
        cluster.store().restore(&copy);
        let restored_at = cluster.store().revision();
        cluster.store().set_mode(StoreMode::Up);
        cluster.disturb_store();
        sleep(millis(&mut rng, 100..1500)).await;
        write_again(&cluster, &lost, restored_at);
        sleep(LAPSE_TIME).await;
        remove_lapsed(&cluster);
        cluster.disturb_store();
    }
}

fn entries(store: &FakeStore) -> BTreeMap<String, Value> {
    WRITTEN_AGAIN.iter().flat_map(|prefix| store.values(prefix)).collect()
}

/// Writes what the store lost, unless it was written or removed since the revision `restored_at`.
fn write_again(cluster: &Cluster, lost: &BTreeMap<String, Value>, restored_at: u64) {
    let store = cluster.store();
    let held = entries(store);
    let is_lost = |(key, value): &(&String, &Value)| held.get(*key) != Some(value);
    for (key, value) in lost.iter().filter(is_lost) {
        let is_newer = store.key_revision(key).is_some_and(|revision| revision > restored_at);
        if !is_newer && !cluster.was_removed(key) {
            store.put(key, value);
        }
    }
}

/// Removes the entries of upstreams that had left before the restore.
fn remove_lapsed(cluster: &Cluster) {
    for key in entries(cluster.store()).keys().filter(|key| cluster.was_removed(key)) {
        cluster.store().delete(key);
    }
}
