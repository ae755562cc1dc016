#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O --crate-name rig_3 -o target/review/rig-3 review/rig-3/main.rs
