//! Short soak of planned stops with real nodes.

#![allow(clippy::unwrap_used)]

use std::process::Command;

/// Guards against calls that a stop loses: by its length, by a further signal, or at other nodes. The
/// long runs are started by hand, with hundreds of nodes and other seeds.
#[test]
fn planned_stops_lose_no_call() {
    run_stops("--nodes 6 --domains 3 --callers 4 --together 3 --slowest 4 --disturbed --seed 1");
}

/// Guards against calls that are passed on late in a stop, because their body comes late, and are broken
/// off.
#[test]
fn planned_stops_break_off_no_call_with_a_late_body() {
    run_stops(
        "--nodes 6 --domains 3 --callers 10 --together 3 --slowest 1 --grace-s 6 --slow-bodies 0.5 --seed 2",
    );
}

fn run_stops(arguments: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_wagtaillever-bench"))
        .arg("stops")
        .args(arguments.split(' '))
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
}
