#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10: the project's own are part of the
# program of the deploy file, the others are one file of standard Rust.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release -p verbenahinge
mkdir -p target/review-2
rustc --edition 2021 -O review/kit-2.rs -o target/review-2/kit
