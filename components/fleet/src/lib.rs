//! Leases, orders to engines, scaling and reclaims.
//!
//! [`Leaving`] says which instances get no new work, and [`plan`] what
//! becomes of the streams on them.

mod knapsack;
mod leaving;
mod plan;
mod spread;
mod wire;

pub use knapsack::{Item, best_subset, total_value};
pub use leaving::{Leaving, LeavingSet, Record, Stamp, Standing};
pub use plan::{Action, ExportLimits, Receiver, RunningStream, Step, plan};
pub use spread::ReclaimSpread;
pub use wire::WireError;
