#!/usr/bin/env bash
# Runs the test of each mutation in docs/mutations.txt twice: with the mutation, when it must fail, and without, when it
# must pass. A test that fails in any case would not prove that it notices the mutation.
#
# Exits non-zero if any mutation goes unnoticed.
set -euo pipefail
cd "$(dirname "$0")/.."

# run MUTATION TEST: runs one test with the mutation, or without one if MUTATION is empty, and prints the test's output.
run() {
  ANVILHUB_MUTATION="$1" cargo test -p anvilhub-coord --features mutations --locked -- --exact "$2" 2>/dev/null || true
}

cargo test -p anvilhub-coord --features mutations --locked --no-run --quiet
unnoticed=0
while read -r guarantee mutation test; do
  case "$guarantee" in "" | "#"*) continue ;; esac
  verdict="noticed"
  grep -qxF "test $test ... FAILED" <<<"$(run "$mutation" "$test")" || verdict="NOT NOTICED"
  grep -qxF "test $test ... ok" <<<"$(run "" "$test")" ||
    verdict="THE TEST ALSO FAILS WITHOUT THE MUTATION, OR DOES NOT EXIST"
  [ "$verdict" = noticed ] || unnoticed=$((unnoticed + 1))
  echo "$guarantee $mutation, test $test: $verdict"
done <docs/mutations.txt

echo "$unnoticed mutations not noticed"
[ "$unnoticed" -eq 0 ]
