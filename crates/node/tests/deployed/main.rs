//! Tests of nodes that run as processes with the settings of the users' prepared machines.

#![allow(clippy::unwrap_used)]

mod caller;
mod cut_answers;
mod fleet;
mod keys;
mod late_bodies;
mod late_connections;
mod odd_entries;
mod odd_requests;
mod quotas;
mod stop;
mod store;
mod upstream;
