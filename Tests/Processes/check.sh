#!/usr/bin/env bash
# Checks a deployment of real processes and prints one line per check. Bounds
# are the stated targets, or limits with a wide margin, so that the results do
# not vary between runs.
set -uo pipefail
cd "$(dirname "$0")/../.."
script=Meta/mastichold.sh
bench=Build/release/bin/mastichold-bench
console=Build/release/bin/mastichold
run=Build/run
passed=0
failed=0

check() {
  local name=$1
  shift
  if "$@" > "$run/check.out" 2>&1; then
    passed=$((passed + 1))
    echo "ok $name"
  else
    failed=$((failed + 1))
    echo "FAILED $name"
    sed 's/^/    /' "$run/check.out" | tail -n 12
  fi
}

field() {
  sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"
}

# node_field N NAME: prints a field of the Nth node (from 1) in deployment.json.
node_field() {
  tr '{' '\n' < $run/deployment.json | grep '"proxy_pid"' | sed -n "$1p" |
    sed -n "s/.*\"$2\":\"\{0,1\}\([^,\"}]*\).*/\1/p"
}

post() {
  curl -s -o "$run/answer" -w '%{http_code}' -X POST "http://$1" -d "$2"
}

# responds STATUS TEXT ADDRESS/PATH BODY: posts the body and checks the status
# and that the response contains the text.
responds() {
  local status
  status=$(post "$3" "$4")
  echo "$status $(cat "$run/answer")"
  [ "$status" = "$1" ] && grep -qF -- "$2" "$run/answer"
}

read_your_write() {
  local first second token role
  first=$(node_field 1 callers)
  second=$(node_field 2 callers)
  post "$first/v1/groups/festival-1/statements" \
    '{"request_id":"ryw-1","sql":"INSERT INTO fees VALUES(?,1)","params":["ryw"],"write":true,"deadline_ms":300}' > /dev/null
  token=$(field token < "$run/answer")
  cat "$run/answer"
  [ -n "$token" ] || return 1
  post "$second/v1/groups/festival-1/statements" \
    '{"request_id":"ryw-2","sql":"SELECT COUNT(*) FROM fees WHERE entry=?","params":["ryw"],"token":"'"$token"'"}' > /dev/null
  cat "$run/answer"
  grep -qF '"rows":[[1]]' "$run/answer" || return 1
  post "$second/v1/groups/festival-1/statements" \
    '{"request_id":"ryw-3","sql":"SELECT 1","max_age_ms":60000}' > /dev/null
  cat "$run/answer"
  role=$(field role < "$run/answer")
  [ "$role" = replica ]
}

set_lag() {
  local address
  for address in $(grep -o '"group":"festival-1","address":"[^"]*' \
    $run/deployment.json | sed 's/.*"//'); do
    post "$address/faults" "{\"lag_ms\":$1}" > /dev/null
  done
}

survives_lost_node() {
  "$bench" load --seconds 6 --callers 20 > "$run/load.out" 2>&1 &
  local load=$!
  sleep 2
  kill -KILL "$(node_field 3 proxy_pid)"
  sleep 1
  kill -KILL "$(node_field 2 agent_pid)"
  wait $load
  local code=$?
  cat "$run/load.out"
  return $code
}

idle_agents_are_cheap() {
  "$bench" control --seconds 4 --json > "$run/control.json"
  cat "$run/control.json"
  awk -F'"agent_core_percent":' '{ exit !($2 + 0 < 2.4) }' "$run/control.json"
}

concurrent_changes_conflict() {
  local version
  version=$("$console" --deployment $run/deployment.json --json config show |
    sed 's/^{"version":\([0-9]*\).*/\1/')
  "$console" --deployment $run/deployment.json config set queue.longest 300 \
    --reason "first" --based-on "$version" || return 1
  "$console" --deployment $run/deployment.json config set queue.longest 301 \
    --reason "second" --based-on "$version"
  [ $? -eq 1 ]
}

transaction() {
  local node id
  node=$(node_field 1 callers)/v1/groups/festival-2/transactions
  post "$node" '{"kind":"lodge"}' > /dev/null
  id=$(field transaction < "$run/answer")
  post "$node/$id/statements" \
    '{"sql":"INSERT INTO fees VALUES(?,1)","params":["t1"]}' > /dev/null
  cat "$run/answer"
  # Other callers do not see the row before the commit.
  post "$(node_field 2 callers)/v1/groups/festival-2/statements" \
    '{"request_id":"t-r1","sql":"SELECT COUNT(*) FROM fees WHERE entry=?","params":["t1"]}' > /dev/null
  cat "$run/answer"
  grep -qF '[[0]]' "$run/answer" || return 1
  post "$node/$id/commit" '{"request_id":"t-c1"}' > /dev/null
  cat "$run/answer"
  grep -qF '"outcome":"ok"' "$run/answer" || return 1
  # A repeated commit on another node returns the same outcome.
  post "$(node_field 2 callers)/v1/groups/festival-2/transactions/$id/commit" \
    '{"request_id":"t-c1","attempt":2}' > /dev/null
  cat "$run/answer"
  grep -qF '"outcome":"ok"' "$run/answer"
}

abandoned_transaction() {
  local node id
  node=$(node_field 1 callers)/v1/groups/festival-3/transactions
  post "$node" '{"kind":"lodge"}' > /dev/null
  id=$(field transaction < "$run/answer")
  post "$node/$id/statements" \
    '{"sql":"INSERT INTO fees VALUES(?,1)","params":["t2"]}' > /dev/null
  sleep 7
  post "$node/$id/commit" '{"request_id":"t-c2"}' > /dev/null
  cat "$run/answer"
  grep -qF '"outcome":"not_run"' "$run/answer" || return 1
  post "$(node_field 1 callers)/v1/groups/festival-3/statements" \
    '{"request_id":"t-r2","sql":"SELECT COUNT(*) FROM fees WHERE entry=?","params":["t2"]}' > /dev/null
  cat "$run/answer"
  grep -qF '[[0]]' "$run/answer"
}

# Every open connection of every node to the group stops responding; new
# connections work.
silent_connections_are_replaced() {
  local address name start
  for address in $(grep -o '"group":"festival-1","address":"[^"]*' \
    $run/deployment.json | sed 's/.*"//'); do
    for name in hobart-1 launceston-1 devonport-1 huonville-1; do
      post "$address/faults" \
        "{\"silence\":\"open\",\"silence_of\":[\"$name\"]}" > /dev/null
    done
  done
  start=$(date +%s)
  post "$statements" '{"request_id":"silent-1","sql":"INSERT INTO fees VALUES(?,1)","params":["silent"],"write":true,"deadline_ms":8000}' > /dev/null
  cat "$run/answer"
  grep -qF '"outcome":"ok"' "$run/answer" || return 1
  [ $(($(date +%s) - start)) -le 8 ]
}

survives_random_bytes() {
  local port
  for port in $(node_field 1 callers | sed 's/.*://'); do
    head -c 4096 /dev/urandom > "/dev/tcp/127.0.0.1/$port" || true
    head -c 4096 /dev/urandom > "/dev/tcp/127.0.0.1/$((port + 1))" || true
    head -c 4096 /dev/urandom > "/dev/tcp/127.0.0.1/$((port + 2))" || true
    head -c 4096 /dev/urandom > "/dev/tcp/127.0.0.1/$((port + 3))" || true
  done
  sleep 0.2
  curl -fs "http://$(node_field 1 operators)/health"
}

$script up --deployment tasmania --nodes 4 --restart-after 1 || exit 1
trap '$script down' EXIT
node=$(node_field 1 callers)
operators=$(node_field 1 operators)
statements=$node/v1/groups/festival-1/statements
good='{"request_id":"x","sql":"SELECT 1"}'
big=$(printf '"%01100000d"' 0)

checks_settings() {
  local node
  for node in proxy agent; do
    Build/release/bin/mastichold-$node --check \
      --settings "$(node_field 1 settings)" || return 1
    Build/release/bin/mastichold-$node --version || return 1
    # All findings are reported in one run, each with its line, and the exit
    # code is 2.
    printf '[node]\nnmae = x\n[proxy]\ncallers = here\n' > "$run/bad.ini"
    Build/release/bin/mastichold-$node --check --settings "$run/bad.ini" \
      > "$run/findings" 2>&1
    [ $? -eq 2 ] || return 1
    cat "$run/findings"
    grep -qF 'bad.ini:2 [node] nmae' "$run/findings" &&
      grep -qF 'the nearest is node.name' "$run/findings" &&
      grep -qF 'bad.ini:4 [proxy] callers' "$run/findings" &&
      grep -qF 'secrets.peers is missing' "$run/findings" || return 1
  done
}

long_header_is_refused() {
  local status
  status=$(curl -s -o "$run/answer" -w '%{http_code}' \
    -H "X-Long: $(printf '%020000d' 0)" "http://$node/v1/other")
  echo "$status $(cat "$run/answer")"
  [ "$status" = 400 ] || [ "$status" = 413 ] || [ "$status" = 431 ] || return 1
  curl -fs "http://$operators/health"
}

settings_page_is_current() {
  "$console" settings | diff - docs/settings.md
}

check "--check reports every finding with its line" checks_settings
check "a long header is refused" long_header_is_refused
check "docs/settings.md matches the settings of the build" \
  settings_page_is_current
check "idle agents stay below 2.4% of a core" idle_agents_are_cheap
check "a JSON syntax error is reported with its position" responds 400 \
  "body, byte" "$statements" '{"a":'
check "all missing fields are reported" responds 400 /sql "$statements" '{}'
check "a field of the wrong type is reported" responds 400 /attempt \
  "$statements" '{"request_id":"x","sql":"s","attempt":"one"}'
check "a damaged token is reported" responds 400 /token "$statements" \
  '{"request_id":"x","sql":"s","token":"m1.00"}'
check "an unknown group is reported" responds 404 nowhere \
  "$node/v1/groups/nowhere/statements" "$good"
check "an unknown path is reported" responds 404 /v1/other \
  "$node/v1/other" "$good"
echo "$big" > $run/big
check "a long body is refused" responds 413 "longer than" \
  "$statements" "@$run/big"
check "a wrong secret is refused" responds 401 secret \
  "$operators/v1/operators/config" '{}'
check "peers need their secret" responds 401 secret \
  "$(echo "$node" | sed 's/.*://' | awk '{ print "127.0.0.1:" $1 + 1 }')/v1/groups/festival-1/statements" "$good"
check "invalid SQL gives the outcome failed" responds 200 '"outcome":"failed"' \
  "$statements" '{"request_id":"x1","sql":"SELEC","write":true}'
check "a write sent as a read is refused" responds 200 '"outcome":"failed"' \
  "$statements" '{"request_id":"x2","sql":"DELETE FROM fees"}'
check "a node survives random bytes on every port" survives_random_bytes
check "a transaction is isolated until its commit and committed once" \
  transaction
check "an abandoned transaction is rolled back" abandoned_transaction
set_lag 5000
check "a session reads its write on another node, at 5 s of lag" read_your_write
set_lag 0
check "silent connections are replaced by new ones" \
  silent_connections_are_replaced
check "one of two concurrent configuration changes gets a conflict" \
  concurrent_changes_conflict
check "configuration changes take effect on every node" \
  "$bench" config --changes 5
check "failover follows every loss of a primary" "$bench" failover --rounds 1
check "a leaving database gets no new work after 3 s" "$bench" leaving
check "a planned stop interrupts no request" "$bench" stop
check "no write is lost or repeated when a proxy and an agent are killed" \
  survives_lost_node
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
