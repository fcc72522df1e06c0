#!/usr/bin/env bash
# Runs a demo fleet on this machine: the stand-in store, eight upstreams in three
# regions and three instances, each in its own process on a loopback address.
# Puts three documents, sends requests as callers of each service, and stops all
# processes within 30 s. Exits with a code other than 0 if a request failed.
# Run "make build" first.
set -euo pipefail
set -m # one process group per job: Ctrl-C reaches only this script, which stops the processes in order
cd "$(dirname "$0")/.."

knapweedreel=$PWD/bin/knapweedreel
standin=$PWD/bin/standin
examples=$PWD/examples/bloomtally
folder=$(mktemp -d)
exec 3>&1 4>&2
instances=() # process IDs of the instances; they have to exit with code 0

start() { # start LOG COMMAND...: runs a process in the background
  local log=$1
  shift
  "$@" >"$folder/$log" 2>&1 3>&- 4>&- &
}

# limited COMMAND...: runs a command and waits for it. All commands together may
# take 20 s; stopping takes at most 8 s more.
# The command runs in the background: bash would handle a signal only after a
# foreground command ends, and would drop an interrupt that the command handled.
limited() {
  local left=$((20 - SECONDS))
  if ((left < 1)); then
    echo "no time left for the command: $*" >&2
    return 1
  fi
  timeout "$left" "$@" &
  wait $!
}

show() { # show COMMAND...: prints the command, then runs it
  echo
  echo "\$ $(basename "$1") ${*:2}" | sed "s#$folder/##g"
  limited "$@"
}

until_ok() { # until_ok WHAT COMMAND...: repeats a command until it succeeds, for at most 10 s
  local what=$1 end=$((SECONDS + 10))
  shift
  until limited "$@" >"$folder/last.log" 2>&1; do
    if ((SECONDS >= end)); then
      echo "$what: not reached in 10 s:" >&2
      cat "$folder/last.log" >&2
      return 1
    fi
    sleep 0.1 &
    wait $!
  done
}

stop() { # stop SECONDS PID...: stops processes with SIGTERM, and with SIGKILL after SECONDS
  local limit=$1
  shift
  (($# > 0)) || return 0
  kill -TERM "$@" 2>/dev/null || true
  local pid left i
  for ((i = 0; i < 10 * limit; i++)); do
    left=()
    for pid in $(jobs -pr); do
      if [[ " $* " == *" $pid "* ]]; then left+=("$pid"); fi
    done
    ((${#left[@]} > 0)) || return 0
    sleep 0.1
  done
  echo "killed because they did not stop within $limit s: ${left[*]}" >&2
  kill -KILL "${left[@]}" 2>/dev/null || true
  return 1
}

stop_all() {
  local status=$? pid running
  trap '' INT TERM # a second signal must not stop the cleanup and leave processes running
  trap - EXIT
  exec >&3 2>&4 # the signal may have arrived while a command's output was redirected
  # The instances stop first: their graceful shutdown needs the store.
  stop 6 "${instances[@]}" || status=1
  for pid in "${instances[@]}"; do
    wait "$pid" || { echo "an instance ended with exit code $?" >&2; status=1; }
  done
  mapfile -t running < <(jobs -pr)
  stop 2 "${running[@]}" || status=1
  wait 2>/dev/null || true
  if ((status != 0)); then
    echo "failed; last lines of the instances' logs:" >&2
    tail -n 20 "$folder"/i?.log >&2 || true
  fi
  rm -rf "$folder"
  echo
  echo "stopped after ${SECONDS} s with exit code $status"
  exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fill() { # fill FILE NAME=VALUE...: prints a file with each {NAME} replaced by VALUE
  local file=$1 pair
  shift
  local edits=()
  for pair in "$@"; do edits+=(-e "s#{${pair%%=*}}#${pair#*=}#g"); done
  sed "${edits[@]}" "$file"
}

mapfile -t free < <("$standin" ports --count 18)
store=${free[0]}
regions=(south north northwest)

echo "keys and settings in a temporary folder"
limited "$knapweedreel" keys authority --folder "$folder" >/dev/null
limited "$knapweedreel" keys operator show-office --folder "$folder" >/dev/null
export KNAPWEEDREEL_CERTIFICATE=$folder/show-office.pem
export KNAPWEEDREEL_KEY=$folder/show-office.key
export KNAPWEEDREEL_AUTHORITY=$folder/authority.pem

start store.log "$standin" store --address "$store"

echo "8 upstreams in 3 regions"
addresses=() # NAME=ADDRESS of each upstream
schedules=() entries=() photos=()
start_upstream() { # start_upstream SERVICE NUMBER ADDRESS WORK_MS
  start "$1-$2.log" "$standin" upstream --address "$3" --id "$1-$2" --service "$1" --slots 6 --work-ms "$4"
  addresses+=("$1-$2=$3")
}
for n in 1 2 3; do
  start_upstream schedules $n "${free[$n]}" 5
  schedules+=("${free[$n]}")
  start_upstream entries $n "${free[$n + 3]}" 10
  entries+=("${free[$n + 3]}")
done
for n in 1 2; do
  start_upstream photos $n "${free[$n + 6]}" 20
  photos+=("${free[$n + 6]}")
done

echo "3 instances, one in each region"
entry=() admin=()
for n in 0 1 2; do
  name=i$((n + 1)) region=${regions[$n]}
  entry+=("${free[9 + 3 * n]}")
  admin+=("${free[11 + 3 * n]}")
  limited "$knapweedreel" keys instance $name --folder "$folder" >/dev/null
  fill "$examples/settings.jsonc" instance=$name region="$region" failure_domain="$region-a" folder="$folder" \
    entry_address="${free[9 + 3 * n]}" peer_address="${free[10 + 3 * n]}" admin_address="${free[11 + 3 * n]}" \
    store_address="$store" >"$folder/$name.jsonc"
  limited "$knapweedreel" settings check "$folder/$name.jsonc" >/dev/null
  start $name.log "$knapweedreel" serve "$folder/$name.jsonc"
  instances+=($!)
done
comma() { (IFS=, && echo "$*"); }
KNAPWEEDREEL_ADMIN=$(comma "${admin[@]}")
export KNAPWEEDREEL_ADMIN
until_ok "3 live instances" "$knapweedreel" document status --wait --instances 3 --timeout 10s

for service in schedules entries photos; do
  fill "$examples/$service.jsonc" "${addresses[@]}" >"$folder/$service.jsonc"
  show "$knapweedreel" document put "$folder/$service.jsonc"
  show "$knapweedreel" document status "$service" --wait --instances 3 --timeout 5s
done
show "$knapweedreel" locate schedules --entry "$(comma "${entry[@]}")" --region northwest

call() { # call SERVICE REGION ARGUMENTS...
  local service=$1 region=$2
  shift 2
  show "$standin" caller --entry "$(comma "${entry[@]}")" --service "$service" --host "$service.bloomtally.example" --region "$region" "$@"
}
for region in "${regions[@]}"; do
  call schedules "$region" --account "steward-$region" --accounts 4 --path /schedules/show-7/class-12 --rate 100 --duration 1s \
    --check-runs "$(comma "${schedules[@]}")"
done
failed=0
call entries south --account exhibitor --accounts 5 --method POST --path /entries --body-bytes 400 --count 60 --concurrency 6 \
  --once --check-runs "$(comma "${entries[@]}")" >"$folder/entries.out" || failed=$?
cat "$folder/entries.out"
((failed == 0)) || exit "$failed"
call photos northwest --account judge --method PUT --path /photos/bench-3 --body-bytes 8388608 --count 2 \
  --check-runs "$(comma "${photos[@]}")"

show "$knapweedreel" explain request "$(sed -n 's/^  last request: //p' "$folder/entries.out")"
has_audit() { "$knapweedreel" audit --limit 1 | grep -q .; }
export -f has_audit
export knapweedreel
until_ok "audit records" bash -c has_audit
show "$knapweedreel" audit --limit 10
