//! Common types of all lycheelatch crates.
//!
//! Names are shared immutable strings with typed wrappers. External input is
//! parsed through `TryFrom` (or [`str::parse`]); a failure is an [`InvalidValue`]
//! with the field and the value.

mod error;
mod ids;
mod labels;
mod name;
mod request;

pub use error::InvalidValue;
pub use ids::{ChangeId, Fence, Incarnation, RequestId, Revision, Sequence};
pub use labels::{LabelKey, LabelValue, Labels};
pub use name::{
    AdapterName, InstanceClass, InstanceId, ModelName, ModelVersion, Name, NodeId, OperatorName,
    RegionName, ServiceName, UpstreamId, WorkspaceName, ZoneName,
};
pub use request::{Attempt, Idempotency, IdempotencyKey, Outcome, Priority};
