//! Simulated platform and upstreams, fault injection and experiments for wagtaillever.

mod arguments;
mod caller;
mod chaos;
mod checks;
mod clock;
mod converge;
mod deployment;
mod error;
mod fleet;
mod http_client;
mod layout;
mod meter;
mod pattern;
pub mod platform;
mod ports;
mod proxy;
mod report;
mod service;
mod stops;
mod subcommand;
mod upstream;

pub use crate::{
    arguments::{Arguments, run},
    deployment::{Deployment, Latency, ServiceShape},
    error::BenchError,
};
