#!/usr/bin/env bash
# Builds the stand-ins of review/6 and later, after the build of deploy/system.toml. Only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig/main.rs
