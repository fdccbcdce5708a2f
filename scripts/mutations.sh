#!/usr/bin/env bash
# Activates each mutation of docs/mutations.txt and fails when its test does not notice.
#
# A test has to pass without its mutation first. Otherwise its failure would prove nothing.
set -euo pipefail
cd "$(dirname "$0")/.."

run() { # MUTATION TEST
  ANVILHUB_MUTATION="$1" cargo test -p anvilhub-coord --features mutations --locked -- --exact "$2" 2>/dev/null || true
}

cargo test -p anvilhub-coord --features mutations --locked --no-run --quiet
unnoticed=0
while read -r guarantee mutation test; do
  case "$guarantee" in "" | "#"*) continue ;; esac
  verdict="noticed"
  grep -qxF "test $test ... FAILED" <<<"$(run "$mutation" "$test")" || verdict="NOT NOTICED"
  grep -qxF "test $test ... ok" <<<"$(run "" "$test")" || verdict="TEST FAILS OR IS MISSING WITHOUT IT"
  [ "$verdict" = noticed ] || unnoticed=$((unnoticed + 1))
  echo "$guarantee $mutation: $verdict by $test"
done <docs/mutations.txt

echo "$unnoticed mutations not noticed"
[ "$unnoticed" -eq 0 ]
