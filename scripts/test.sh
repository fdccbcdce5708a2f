#!/usr/bin/env bash
# Builds every program and runs every test. The programs are built first, because process tests start them.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --locked
cargo test --workspace --locked "$@"
