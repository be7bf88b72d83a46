//! The daemon `lycheelatchd`: assembles a node from its components.

mod callers;
mod cli;
mod clients;
mod cluster;
mod config_task;
mod control;
mod error;
mod gateway;
mod health;
mod line_queue;
mod logging;
mod node;
mod operators;
mod registry_task;
mod route;
mod signals;
mod stop;

pub use cli::run;
pub use error::StartError;
pub use health::Health;
pub use node::{Node, peers_config};
