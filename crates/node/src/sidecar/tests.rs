//! Tests of a sidecar on the loopback interface with simple upstreams.

mod admission;
mod cut;
mod endless;
mod fixture;
mod forwarding;
mod keys;
mod listed;
mod memory;
mod reuse;
mod stalls;
mod stated;
mod status;
mod stop;
mod stray;
