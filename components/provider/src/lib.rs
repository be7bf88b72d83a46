//! Interfaces to the platform's services: traits and their HTTP clients.
//!
//! The rest of the system accesses the platform only through these traits. Their
//! futures are not `Send`: each runs on the thread that created it.

mod budget;
mod cloud;
mod http;
mod instances;
mod kv;
mod weights;

pub use budget::{CallClass, KvCallBudget, KvCallLimits};
pub use cloud::{
    Cloud, CloudError, Instance, InstanceState, Offer, Purchase, ReclaimNotice, StartInstance,
};
pub use http::{Endpoint, HttpCloud, HttpInstanceList, HttpKeyValue, HttpWeightStore, wire};
pub use instances::{InstanceList, InstanceListError, ListedInstance, ListedState};
pub use kv::{
    CasOutcome, Entry, KeyValue, KvError, KvKey, LeaseId, MAX_VALUE_BYTES, Version, WatchIndex,
    WatchResult, check_value_size,
};
pub use weights::{WeightInfo, WeightStore, WeightStoreError};
