#!/usr/bin/env bash
# Starts two entries, three upstreams with their agents, the stand-in platform and the stand-in trainer on loopback,
# configures them with radishshelfctl, lets bin/quickstart check the whole path, and stops every process it started.
set -euo pipefail
cd "$(dirname "$0")/.."
run=$(mktemp -d "${TMPDIR:-/tmp}/radishshelf-quickstart.XXXXXX")
pids=()

# stop PID sends SIGTERM to a process, and SIGKILL if it still runs after five seconds.
stop() {
  kill -TERM "$1" 2>/dev/null || return 0
  for _ in $(seq 50); do kill -0 "$1" 2>/dev/null || return 0; sleep 0.1; done
  kill -KILL "$1" 2>/dev/null || true
}

cleanup() {
  code=$?
  # Stop in reverse order, so that agents and entries can still reach the platform for their last writes.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do stop "${pids[$i]}"; done
  if [ "$code" -eq 0 ]; then rm -rf "$run"; else echo "quickstart: logs are in $run" >&2; fi
  exit "$code"
}
trap cleanup EXIT

# start NAME PROGRAM SETTINGS runs a program in the background, with its log and process ID in the run folder.
start() {
  "bin/$2" run --settings "$3" >"$run/$1.log" 2>&1 &
  pids+=($!)
  echo $! >"$run/$1.pid"
  disown
}

ctl() { bin/radishshelfctl --entry 127.0.0.1:17111 --output json "$@"; }
field() { sed -n 's/.*"'"$1"'": *"\([^"]*\)".*/\1/p' | head -1; }
grant() { ctl keys grant "${@:2}" >"$run/$1.key.json"; field secret <"$run/$1.key.json" >"$run/$1.secret"; }

for name in entry-1 entry-2; do bin/radishshelf-entry check-settings "examples/quickstart/$name.json" >/dev/null; done
for name in engine-1 engine-2 desk-1; do bin/radishshelf-agent check-settings "examples/quickstart/agent-$name.json" >/dev/null; done

start platform standin-platform examples/quickstart/platform.json
start engine-1 standin-engine examples/quickstart/engine-1.json
start engine-2 standin-engine examples/quickstart/engine-2.json
start desk-1 standin-service examples/quickstart/desk-1.json
start entry-1 radishshelf-entry examples/quickstart/entry-1.json
start entry-2 radishshelf-entry examples/quickstart/entry-2.json
for name in engine-1 engine-2 desk-1; do start "agent-$name" radishshelf-agent "examples/quickstart/agent-$name.json"; done

bin/quickstart wait-ready --dir "$run"
for pid in "${pids[@]}"; do
  kill -0 "$pid" 2>/dev/null || { echo "quickstart: step \"start\" failed: a process exited; check whether a port is in use" >&2; tail -qn1 "$run"/*.log >&2; exit 1; }
done

ctl defaults set --field usage_window_seconds=5 --field max_entries=4 --field min_upstreams=1 --field max_upstreams=4 >/dev/null
ctl policies set trip-fares --value '{}' >/dev/null
ctl trainers set coach --value '{"policy": "trip-fares", "max_staleness": 4, "lot_samples": 4}' >/dev/null
ctl workspaces set hraunvegur --field weight=1 >/dev/null
ctl workspaces set verband --field weight=1 >/dev/null
ctl routes set bookings --value '{"path_prefix": "/bookings", "service": "booking-desk"}' >/dev/null
ctl routes set fares --value '{"path_prefix": "/fares", "service": "booking-desk", "idempotent": true}' >/dev/null
grant hraunvegur --workspace hraunvegur
grant verband --workspace verband
grant verband-2 --workspace verband
grant coach --trainer coach
sed "s/SECRET_OF_COACH/$(cat "$run/coach.secret")/" examples/quickstart/trainer.json >"$run/trainer.json"
start trainer standin-trainer "$run/trainer.json"

bin/quickstart check --dir "$run"
echo "quickstart: ok"
