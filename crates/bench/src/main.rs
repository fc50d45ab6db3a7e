//! Stand-ins, fault injection and experiments.

fn main() {}
