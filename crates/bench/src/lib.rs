//! Stand-ins, fault injection and experiments for wagtaillever.

#![allow(dead_code)]

mod arguments;
mod error;
pub mod platform;
mod subcommand;

pub use crate::{
    arguments::{Arguments, run},
    error::BenchError,
};
