//! HTTP clients of the platform's services.

mod cloud;
mod endpoint;
mod instances;
mod kv;
mod weights;
pub mod wire;

pub use cloud::HttpCloud;
pub use endpoint::Endpoint;
pub use instances::HttpInstanceList;
pub use kv::HttpKeyValue;
pub use weights::HttpWeightStore;
