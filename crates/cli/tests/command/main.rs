//! Runs the command against stubs of the nodes' admin interface.

#![allow(clippy::unwrap_used)]

mod nodes;
mod notes;
mod run;
mod stub;
