//! Tasks of the workspace.

fn main() {}
