//! Tests of a sidecar on the loopback interface with simple upstreams.

mod admission;
mod cut;
mod endless;
mod fixture;
mod forwarding;
mod keys;
mod listed;
mod reuse;
mod stated;
mod stop;
mod stray;
