//! Stand-ins, fault injection and experiments for wagtaillever.

#![allow(dead_code)]

mod arguments;
mod error;
mod subcommand;

pub use crate::{
    arguments::{Arguments, run},
    error::BenchError,
};
