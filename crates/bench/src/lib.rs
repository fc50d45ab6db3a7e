//! Stand-ins, fault injection and experiments for wagtaillever.

#![allow(dead_code, unused_imports)]

mod arguments;
mod caller;
mod error;
mod http_client;
mod pattern;
pub mod platform;
mod subcommand;
mod upstream;

pub use crate::{
    arguments::{Arguments, run},
    error::BenchError,
};
