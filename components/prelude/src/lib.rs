//! Common types shared by every part of lycheelatch.
//!
//! Names are shared immutable strings with typed wrappers. Every value that
//! comes from outside is parsed through `TryFrom` (or [`str::parse`]) and
//! fails with an [`InvalidValue`] that names the field and the value.

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
