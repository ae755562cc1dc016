#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and the folders after it start. It needs the Rust
# compiler alone, no network and no library.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/rig review/rig-2/main.rs
