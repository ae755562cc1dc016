#!/bin/sh
# Builds the stand-ins that the scripts of the review start; they use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/rig review/rig/main.rs
