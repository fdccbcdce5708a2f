#!/usr/bin/env bash
# Builds every program and runs every test. Process tests start the programs that this builds.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --locked
cargo test --workspace --locked "$@"
