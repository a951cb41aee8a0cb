#!/usr/bin/env bash
# Everything that must hold before a push: format, lints, tests, examples, links in the docs.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo fmt --all -- --check
cargo clippy --workspace --all-targets --locked -- -D warnings

# README's test command.
cargo test --workspace --locked

for user in lakes himalkosh; do
    cargo run --quiet --locked -p cleatshelf -- check --files "examples/$user" --settings "examples/$user/box.toml"
    cargo run --quiet --locked -p cleatshelf -- pack --files "examples/$user" --number 1 --out "target/packed/$user"
    cargo run --quiet --locked -p cleatshelf -- check --release "target/packed/$user"
done

bash scripts/links.sh
