#!/bin/sh
# Builds the stand-ins of all scripts of the review. Standard library only, so that it needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stands/Cargo.toml --target-dir target/review
