#!/usr/bin/env bash
# Runs every test of the fault matrix and prints a verdict for each cell.
#
#   scripts/matrix.sh [SEED]   run the tests; SEED determines their random orders and inputs (default 20260104)
#   scripts/matrix.sh --page   write docs/fault-matrix.md from the names of the tests
#   scripts/matrix.sh --check  fail when docs/fault-matrix.md does not match the tests
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --locked --quiet
matrix="${CARGO_TARGET_DIR:-target}/debug/anvilhub-matrix"

# Prints docs/fault-matrix.md.
page() {
  cargo test --workspace --locked --quiet -- --list 2>/dev/null | "$matrix" --page
}

case "${1:-}" in
  --page)
    page >docs/fault-matrix.md.new || { rm docs/fault-matrix.md.new; exit 1; }
    mv docs/fault-matrix.md.new docs/fault-matrix.md
    ;;
  --check)
    diff docs/fault-matrix.md <(page) || {
      echo "docs/fault-matrix.md does not match the tests; run scripts/matrix.sh --page" >&2
      exit 1
    }
    ;;
  *)
    export ANVILHUB_SEED="${1:-20260104}"
    echo "ANVILHUB_SEED=$ANVILHUB_SEED"
    cargo test --workspace --locked --no-run --quiet
    # A failing test must not end the script, because the verdict of its cell has to be printed.
    { cargo test --workspace --locked --no-fail-fast -- matrix:: 2>/dev/null || true; } |
      "$matrix" --verdicts
    ;;
esac
