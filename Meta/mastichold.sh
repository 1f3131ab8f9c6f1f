#!/usr/bin/env bash
# Builds, tests and runs mastichold; see the README.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
run="$root/Build/run"
binaries="$root/Build/release/bin"
host=127.0.0.1

fail() {
  echo "mastichold.sh: $*" >&2
  exit 2
}

usage() {
  cat <<'TEXT'
usage: Meta/mastichold.sh COMMAND [OPTIONS]

  install   install the declared Debian packages
  build     build everything
  test      build and run every test
  demo      start a small deployment, run callers, kill a primary, account
  up        start a deployment that stays up
              --deployment tasmania|quebec   (tasmania)
              --nodes N                      (9 in Tasmania, 7 in Quebec)
              --base-port PORT               (free ports)
              --restart-after SECONDS        (dead databases stay dead)
              --read-us N --write-us N       (times of a statement)
              --latency-us N                 (one-way latency, 1000)
  down      stop it
TEXT
}

install_packages() {
  local missing=()
  local package
  while read -r package; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
      grep -q 'install ok installed' || missing+=("$package")
  done < "$root/Meta/packages.txt"
  if [ ${#missing[@]} -eq 0 ]; then
    return
  fi
  if [ "$(id -u)" -ne 0 ]; then
    fail "missing Debian packages: ${missing[*]}"
  fi
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
}

build() {
  install_packages
  local preset=${1:-release}
  cd "$root"
  cmake --preset "$preset" > /dev/null
  cmake --build --preset "$preset" | tail -n 1
}

# Prints a filter of the test framework that excludes the cases which
# KNOWN-RED.txt lists in lines of the form "test: PROGRAM SUITE/CASE".
known_red_filter() {
  sed -n 's/^test: [^ ]* \([^ ]*\).*/!\1/p' "$root/KNOWN-RED.txt" | paste -sd:
}

run_tests() {
  build release
  build sanitize
  cd "$root"
  echo "known to be red (KNOWN-RED.txt):"
  cat KNOWN-RED.txt
  local filter
  filter=$(known_red_filter)
  if [ -n "$filter" ]; then
    export BOOST_TEST_RUN_FILTERS=$filter
  fi
  Model/check.sh
  Tests/Processes/check.sh
  ctest --preset sanitize
  ctest --preset release
}

is_free() {
  ! (exec 3<> "/dev/tcp/$host/$1") 2> /dev/null
}

# Prints the first port of a free block below the ephemeral port range.
find_base_port() {
  local wanted=$1 base port
  for _ in $(seq 50); do
    base=$((20000 + (RANDOM % 120) * 100))
    for ((port = base; port < base + wanted; ++port)); do
      is_free "$port" || continue 2
    done
    echo "$base"
    return
  done
  fail "found no block of free ports"
}

# Starts a process and stores its command line for a restart.
start() {
  local name=$1
  shift
  printf '%s\n' "$@" > "$run/command/$name"
  "$@" >> "$run/$name.out" 2>> "$run/$name.log" &
  disown
  echo "$!" > "$run/pid/$name"
  echo "$! $name" >> "$run/pids"
}

# Restarts each dead database after $1 seconds, as the platform would.
restart_dead_databases() {
  local name pid command
  while [ -e "$run/pids" ]; do
    for name in "$run"/pid/*-[0-9]-[abc]; do
      name=$(basename "$name")
      pid=$(cat "$run/pid/$name")
      is_own_process "$pid" && continue
      sleep "$1"
      [ -e "$run/pids" ] || return
      mapfile -t command < "$run/command/$name"
      start "$name" "${command[@]}"
    done
    sleep 0.2
  done
}

wait_until() {
  local what=$1 tries
  shift
  for tries in $(seq 300); do
    if "$@" > /dev/null 2>&1; then
      return
    fi
    sleep 0.05
  done
  fail "gave up waiting for $what after $tries tries; see $run/*.log"
}

write_node_settings() {
  cat > "$run/$1.ini" <<TEXT
[node]
name = $1
data_centre = $2

[proxy]
callers = $host:$3
peers = $host:$(($3 + 1))
operators = $host:$(($3 + 2))

[agent]
address = $host:$(($3 + 3))
seeds = $5

[platform]
address = $host:$4
first_configuration = $root/Meta/presets/$deployment.ini

[secrets]
operators = $secret
peers = $secret-peers

[experiments]
latency_us = $latency_us
TEXT
}

up() {
  deployment=tasmania
  local nodes="" base_port="" restart_after="" read_us=2000 write_us=3000
  latency_us=1000
  while [ $# -gt 0 ]; do
    [ $# -ge 2 ] || fail "up: $1 needs a value"
    case $1 in
      --deployment) deployment=$2 ;;
      --nodes) nodes=$2 ;;
      --base-port) base_port=$2 ;;
      --restart-after) restart_after=$2 ;;
      --read-us) read_us=$2 ;;
      --write-us) write_us=$2 ;;
      --latency-us) latency_us=$2 ;;
      *) fail "up: unknown option $1" ;;
    esac
    shift 2
  done
  local centres group_name slots connections
  case $deployment in
    tasmania)
      centres=(hobart launceston devonport huonville)
      group_name=festival slots=5 connections=35
      nodes=${nodes:-9}
      ;;
    quebec)
      centres=(rimouski matane gaspe)
      group_name=planning slots=2 connections=30
      nodes=${nodes:-7}
      ;;
    *) fail "up: --deployment is tasmania or quebec, not $deployment" ;;
  esac
  [[ $nodes =~ ^[0-9]+$ && $nodes -ge 1 ]] || fail "up: --nodes takes a number"
  if [ -e "$run/pids" ]; then
    fail "a deployment is up already; stop it with: Meta/mastichold.sh down"
  fi
  build release > /dev/null
  rm -rf "$run"
  mkdir -p "$run/data" "$run/pid" "$run/command"
  secret=$(head -c 12 /dev/urandom | od -An -tx1 | tr -d ' \n')
  base_port=${base_port:-$(find_base_port $((10 + nodes * 4)))}
  cat "$root/Meta/presets/ledger.sql" "$root/Meta/presets/$deployment.sql" \
    > "$run/schema.sql"

  local platform_port=$base_port databases_json="" members_json=""
  local deployment_nodes="" deployment_databases="" seeds=""
  local group letter index=0 name port centre
  for group in 1 2 3; do
    for letter in a b c; do
      name=$group_name-$group-$letter
      port=$((base_port + 1 + index))
      centre=${centres[$((index % ${#centres[@]}))]}
      start "$name" "$binaries/StandInDatabase" --name "$name" --founder \
        --directory "$run/data" --schema "$run/schema.sql" \
        --listen "$host:$port" --slots "$slots" --connections "$connections" \
        --connect-ms 10 --read-us "$read_us" --write-us "$write_us" \
        --latency-us "$latency_us"
      databases_json+="${databases_json:+,}{\"name\":\"$name\",\"group\":\"$group_name-$group\",\"data_centre\":\"$centre\",\"address\":\"$host:$port\",\"slots\":$slots,\"connections\":$connections,\"state\":\"live\"}"
      deployment_databases+="${deployment_databases:+,}{\"name\":\"$name\",\"group\":\"$group_name-$group\",\"address\":\"$host:$port\",\"pid\":$!}"
      index=$((index + 1))
    done
  done
  for ((index = 0; index < nodes; ++index)); do
    centre=${centres[$((index % ${#centres[@]}))]}
    name=$centre-$((index / ${#centres[@]} + 1))
    port=$((base_port + 10 + index * 4))
    members_json+="${members_json:+,}{\"name\":\"$name\",\"data_centre\":\"$centre\",\"callers\":\"$host:$port\",\"peers\":\"$host:$((port + 1))\",\"operators\":\"$host:$((port + 2))\",\"agent\":\"$host:$((port + 3))\",\"state\":\"live\"}"
    if [ $index -lt 3 ]; then
      seeds+="${seeds:+, }$host:$((port + 3))"
    fi
  done
  echo "{\"members\":[$members_json],\"databases\":[$databases_json]}" \
    > "$run/vms.json"
  start platform "$binaries/StandInPlatform" --listen "$host:$platform_port" \
    --vms "$run/vms.json"
  local platform_pid=$! proxy_pid
  wait_until "the platform" curl -fs "http://$host:$platform_port/v1/vms?known=0"
  for ((index = 0; index < nodes; ++index)); do
    centre=${centres[$((index % ${#centres[@]}))]}
    name=$centre-$((index / ${#centres[@]} + 1))
    port=$((base_port + 10 + index * 4))
    write_node_settings "$name" "$centre" "$port" "$platform_port" "$seeds"
    start "$name-agent" "$binaries/mastichold-agent" --settings "$run/$name.ini"
    local agent_pid=$!
    start "$name-proxy" "$binaries/mastichold-proxy" --settings "$run/$name.ini"
    proxy_pid=$!
    deployment_nodes+="${deployment_nodes:+,}{\"name\":\"$name\",\"data_centre\":\"$centre\",\"callers\":\"$host:$port\",\"operators\":\"$host:$((port + 2))\",\"proxy_pid\":$proxy_pid,\"agent_pid\":$agent_pid,\"settings\":\"$run/$name.ini\"}"
  done
  echo "{\"deployment\":\"$deployment\",\"nodes\":[$deployment_nodes],\"databases\":[$deployment_databases],\"platform\":{\"address\":\"$host:$platform_port\",\"pid\":$platform_pid},\"operators_secret\":\"$secret\"}" \
    > "$run/deployment.json"
  for ((index = 0; index < nodes; ++index)); do
    port=$((base_port + 10 + index * 4))
    wait_until "node $index" curl -fs "http://$host:$((port + 2))/health"
  done
  for group in 1 2 3; do
    wait_until "group $group" accepts_writes "$group_name-$group" \
      $((base_port + 10))
  done
  if [ -n "$restart_after" ]; then
    restart_dead_databases "$restart_after" > /dev/null 2>&1 &
  fi
  echo "up: $deployment, $nodes nodes; addresses in Build/run/deployment.json"
}

# accepts_writes GROUP PORT: true if a write to the group is acknowledged.
accepts_writes() {
  curl -fs -o "$run/serves.json" -X POST "http://$host:$2/v1/groups/$1/statements" \
    -d "{\"request_id\":\"up-$1-$RANDOM$RANDOM\",\"sql\":\"DELETE FROM mastichold_requests WHERE 0\",\"write\":true,\"deadline_ms\":1000}" &&
    grep -q '"outcome":"ok"' "$run/serves.json"
}

# True if the process runs a program of this build. Checks the executable, as
# the pid of an ended process may be reused.
is_own_process() {
  [[ $(readlink "/proc/$1/exe" 2> /dev/null) == "$binaries"/* ]]
}

down() {
  if [ ! -e "$run/pids" ]; then
    echo "down: nothing is up"
    return
  fi
  local pid name left
  while read -r pid name; do
    is_own_process "$pid" || continue
    kill -CONT "$pid" 2> /dev/null || true
    kill -TERM "$pid" 2> /dev/null || true
  done < "$run/pids"
  for _ in $(seq 60); do
    left=0
    while read -r pid name; do
      if is_own_process "$pid"; then left=1; fi
    done < "$run/pids"
    [ $left -eq 0 ] && break
    sleep 0.1
  done
  while read -r pid name; do
    if is_own_process "$pid"; then kill -KILL "$pid" || true; fi
  done < "$run/pids"
  rm -f "$run/pids"
  echo "down: stopped"
}

demo() {
  local which
  trap down EXIT
  for which in tasmania quebec; do
    up --deployment "$which" --nodes 3
    "$binaries/mastichold-bench" demo --deployment "$run/deployment.json"
    down
  done
}

case ${1:-} in
  install) install_packages ;;
  build) build release ;;
  test) run_tests ;;
  demo) demo ;;
  up) shift; up "$@" ;;
  down) down ;;
  -h | --help | help) usage ;;
  *) usage >&2; exit 2 ;;
esac
