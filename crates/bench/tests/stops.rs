//! Short soak of planned stops with real nodes.

#![allow(clippy::unwrap_used)]

use std::process::Command;

/// Guards against calls that a stop loses: by its length, by a further signal, or at other nodes. The
/// long runs are started by hand, with hundreds of nodes and other seeds.
#[test]
fn planned_stops_lose_no_call() {
    let arguments =
        "stops --nodes 6 --domains 3 --callers 4 --together 3 --slowest 4 --disturbed --seed 1";
    let output = Command::new(env!("CARGO_BIN_EXE_wagtaillever-bench"))
        .args(arguments.split(' '))
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
}
