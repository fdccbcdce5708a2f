#!/usr/bin/env bash
# Starts a platform, upstreams and two entry instances as separate processes and sends the same query twice: first with
# all shards alive, then with one shard dead. The answer must show its coverage both times.
# Exits non-zero when an answer is not as expected.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly SHEET=examples/quickstart.json
readonly RUN=run/quickstart
readonly BIN=${CARGO_TARGET_DIR:-target}/debug
readonly PLATFORM=127.0.0.1:7300
readonly UPSTREAM_CONTROL=127.0.0.1:7301
readonly DEAD_SHARD=stock-2
readonly MISSING_START=1073741824
readonly MISSING_END=2147483648
# Numbers of checks, 0.1 s apart: a process has 60 s to become ready and 10 s to stop.
readonly READY_ATTEMPTS=600
readonly STOP_ATTEMPTS=100

started=()

# Stops the programs that this script started, and kills those that have not ended after STOP_ATTEMPTS checks.
stop_all() {
  local pid attempt
  for pid in ${started[@]+"${started[@]}"}; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in ${started[@]+"${started[@]}"}; do
    for ((attempt = 0; attempt < STOP_ATTEMPTS; attempt++)); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}
trap stop_all EXIT

fail() {
  echo "quickstart: $1; the logs are in $RUN" >&2
  exit 1
}

# start NAME PROGRAM ARGUMENT..: runs a program in the background with its output in a log.
start() {
  local name=$1 program=$2
  shift 2
  "$BIN/$program" "$@" >"$RUN/$name.log" 2>&1 &
  started+=("$!")
}

# wait_ready NAME PID ADDRESS PATH: waits until a program answers GET PATH with status 200.
wait_ready() {
  local attempt
  for ((attempt = 0; attempt < READY_ATTEMPTS; attempt++)); do
    kill -0 "$2" 2>/dev/null || fail "$1 ended before it was ready"
    if "$BIN/anvilhub-standin" call --to "$3" --path "$4" >/dev/null 2>&1; then
      return
    fi
    sleep 0.1
  done
  fail "$1 is not ready after $READY_ATTEMPTS checks"
}

# write_entry NUMBER: writes the settings of an entry instance.
write_entry() {
  cat >"$RUN/entry-$1.json" <<JSON
{
  "instance": "entry-$1",
  "failure_domain": "domain-$1",
  "caller_address": "127.0.0.1:740$1",
  "peer_address": "127.0.0.1:741$1",
  "operator_address": "127.0.0.1:742$1",
  "platform_address": "$PLATFORM",
  "drain_grace_ms": 1
}
JSON
}

# list_entry NUMBER: prints the entry instance's record for the platform's instance list.
list_entry() {
  echo "{\"id\": \"entry-$1\", \"role\": \"entry\", \"state\": \"live\", \"address\": \"127.0.0.1:740$1\"," \
    "\"peer_address\": \"127.0.0.1:741$1\", \"operator_address\": \"127.0.0.1:742$1\"}"
}

# query EXIT_CODE: sends the query twice. Prints the first answer as text and checks the exit code. Stores the second
# answer as JSON without whitespace in $answer.
query() {
  local arguments=(query --entry http://127.0.0.1:7401 --caller site-foreman --service tender-stock-desk
    --query "kerb 100x25 grey" --deadline-ms 2000)
  local code=0
  "$BIN/anvilhub" "${arguments[@]}" || code=$?
  [[ $code == "$1" ]] || fail "the query ended with exit code $code instead of $1"
  answer=$("$BIN/anvilhub" "${arguments[@]}" --json) || true
  answer=${answer//[[:space:]]/}
}

cargo build --workspace --locked
mkdir -p "$RUN"
write_entry 1
write_entry 2
echo "{\"instances\": [$(list_entry 1), $(list_entry 2)]}" >"$RUN/instances.json"

start platform anvilhub-standin platform --listen "$PLATFORM" --sheet "$SHEET" --instances "$RUN/instances.json"
wait_ready platform "$!" "$PLATFORM" /calls
start upstreams anvilhub-standin upstreams --sheet "$SHEET" --control "$UPSTREAM_CONTROL"
wait_ready upstreams "$!" "$UPSTREAM_CONTROL" /requests
start entry-1 anvilhubd --settings "$RUN/entry-1.json"
first_entry=$!
start entry-2 anvilhubd --settings "$RUN/entry-2.json"
second_entry=$!
wait_ready entry-1 "$first_entry" 127.0.0.1:7421 /ready
wait_ready entry-2 "$second_entry" 127.0.0.1:7422 /ready

echo "== all shards alive"
query 0
[[ $answer == *'"outcome":"done"'* ]] || fail "the first answer is not done: $answer"
[[ $answer == *'"complete":true'* ]] || fail "the first answer is not complete: $answer"

echo "== both replicas of shard $DEAD_SHARD dead"
"$BIN/anvilhub-standin" call --to "$UPSTREAM_CONTROL" --path /control \
  --command "{\"shard\": \"$DEAD_SHARD\", \"do\": [{\"action\": \"kill\"}]}" >/dev/null
query 1
[[ $answer == *'"outcome":"done"'* ]] || fail "the second answer is not done: $answer"
[[ $answer == *'"complete":false'* ]] || fail "the second answer claims to be complete: $answer"
missing=${answer#*'"missing":['}
missing=${missing%%']'*}
[[ $missing == *"\"start\":$MISSING_START"* && $missing == *"\"end\":$MISSING_END"* && $missing != *'},{'* ]] ||
  fail "the second answer does not name the missing range: $answer"
echo "== as expected: keys $MISSING_START..$MISSING_END are reported missing"
