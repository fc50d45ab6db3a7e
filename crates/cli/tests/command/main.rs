//! Runs the command against stand-ins of the nodes' admin interface.

#![allow(clippy::unwrap_used)]

mod nodes;
mod notes;
mod run;
mod stub;
