//! Tests of node processes under callers that ignore the limits. They run one at a time.

#![allow(clippy::unwrap_used)]

// The helpers of the deployed tests; not all of them are needed here.
#[allow(dead_code)]
#[path = "../deployed/caller.rs"]
mod caller;
#[allow(dead_code)]
#[path = "../deployed/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "../deployed/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "../deployed/upstream.rs"]
mod upstream;

mod bodies;
mod connections;
mod crowd;
mod heads;
mod peers;
mod process;
mod slots;
mod trial;
mod unread;
