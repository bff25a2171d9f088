#!/usr/bin/env bash
# Runs three nodes and the stand-ins as ordinary processes, sends load, freezes one controller and
# kills the next, and checks what callers, engines and the application runner saw.
# Usage: ./build && experiments/processes.sh [seconds]
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

readonly SECONDS_OF_LOAD="${1:-30}"
readonly BINARY=target/wisteriarail
readonly OUT="$(mktemp -d)"
readonly LOG=http://127.0.0.1:9000
declare -A pids=()

stop_all() {
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
}
trap stop_all EXIT

start() {
  local name="$1"
  shift
  "$BINARY" "$@" > "$OUT/$name.out" 2> "$OUT/$name.log" &
  pids[$name]=$!
}

wait_for() {
  local url="$1"
  for _ in $(seq 300); do
    if curl -sf -o "$OUT/probe" "$url"; then
      return
    fi
    sleep 0.2
  done
  echo "error: $url did not answer" >&2
  exit 1
}

controller() {
  curl -s "$LOG/read?from=0" | grep -o '"type":"ClaimRecorded","cell":"main","holder":"[^"]*"' |
    tail -1 | sed 's/.*"holder":"//; s/"//'
}

load() {
  local name="$1"
  shift
  "$BINARY" load --token local-token --seconds "$SECONDS_OF_LOAD" --json \
    --target http://127.0.0.1:8081 --target http://127.0.0.1:8082 \
    --target http://127.0.0.1:8083 "$@" > "$OUT/$name.json" 2> "$OUT/$name.log" &
  pids[$name]=$!
}

start standin standin --config examples/local/standin.toml
wait_for "$LOG/read?from=0"
for n in 1 2 3; do
  start "n$n" serve --config "examples/local/n$n.toml"
done
"$BINARY" answers publish --log "$LOG" --base 0 --author experiment --reason start examples/local/answers.toml
for n in 1 2 3; do
  wait_for "http://127.0.0.1:808$n/health/ready"
done

models=()
for m in 1 2 3 4 5 6 7 8; do
  models+=(--model "m00$m")
done
load streams --scenario steady --rate 40 "${models[@]}"
load pairs --scenario duplicate --rate 5 --services --kind repair-dispatch --model dispatch

sleep 6
first="$(controller)"
echo "freezing the controller $first for 5 s"
kill -STOP "${pids[$first]}"
sleep 5
kill -CONT "${pids[$first]}"
sleep 3
second="$(controller)"
echo "killing the controller $second"
kill -KILL "${pids[$second]}"

wait "${pids[streams]}" "${pids[pairs]}"
echo "streams: $(cat "$OUT/streams.json")"
echo "pairs: $(cat "$OUT/pairs.json")"

failed=0
decided="$(curl -s "$LOG/read?from=0" | grep -o '"type":"LoadDecided"' | wc -l)"
loaded=0
for e in 1 2 3; do
  counters="$(curl -s "http://127.0.0.1:910$e/counters")"
  echo "engine r$e: $counters"
  loaded=$((loaded + $(sed 's/.*"loads":\([0-9]*\).*/\1/' <<< "$counters")))
  used="$(sed 's/.*"highWaterBytes":\([0-9]*\).*/\1/' <<< "$counters")"
  size="$(sed 's/.*"memoryBytes":\([0-9]*\).*/\1/' <<< "$counters")"
  if [ "$used" -gt "$size" ]; then
    echo "WRONG: engine r$e overcommitted"
    failed=1
  fi
done
echo "loads decided $decided, started $loaded"
if [ "$loaded" -gt "$decided" ]; then
  echo "WRONG: more loads than were decided"
  failed=1
fi
most="$(curl -s http://127.0.0.1:9201/counters | grep -o ':[0-9]*' | tr -d : | sort -n | tail -1)"
echo "most runs under one key: ${most:-0}"
if [ "${most:-0}" -gt 1 ]; then
  echo "WRONG: a non-repeatable request ran twice"
  failed=1
fi
exit "$failed"
