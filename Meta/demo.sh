#!/usr/bin/env bash
# Shows the whole path with real processes on loopback addresses: a platform,
# engines of two versions in two zones, desks, three daemons; a caller's calls
# and an operator's bundle. Ends everything that it started; exits non-zero as
# soon as a step fails.
set -euo pipefail
build=$1
dir=$(mktemp -d)
pids=()

cleanup() {
  local code=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ $code -ne 0 ]; then
    echo "demo: FAILED; the daemons' last lines:"
    tail -n 5 "$dir"/*.log
  fi
  rm -rf "$dir"
}
trap cleanup EXIT

say() { printf '%s\n' "$*"; }
fail() { say "demo: $*"; exit 1; }

# Starts a program in the background with its output in NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

# Waits until a log has a line with the pattern and prints that line.
await_line() {
  local n
  for n in $(seq 200); do
    grep -m1 -- "$2" "$dir/$1.log" 2>/dev/null && return 0
    sleep 0.05
  done
  fail "no '$2' from $1"
}

address_of() { await_line "$1" '^listening' | cut -d' ' -f2; }

# Retries a command until it succeeds; for what takes effect soon.
await() {
  local n
  for n in $(seq 200); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  fail "did not come true: $*"
}

list_host() {
  curl -sf -X POST "http://$platform/admin/hosts" -d "$1" >/dev/null
}

start platform "$build/fake-platform" --listen 127.0.0.1:0
platform=$(address_of platform)
say "platform stand-in at $platform"

n=0
for spec in zone-a:quote-1 zone-b:quote-1 zone-a:quote-2 zone-b:quote-2; do
  n=$((n + 1))
  zone=${spec%%:*}
  version=${spec##*:}
  start "engine$n" "$build/fake-engine" --listen "127.0.0.2$n:0" --service quote-model --version-name "$version" --token-us 5000
  address=$(address_of "engine$n")
  list_host "{\"address\":\"$address\",\"role\":\"engine\",\"zone\":\"$zone\",\"service\":\"quote-model\",\"version\":\"$version\"}"
  say "engine stand-in $version in $zone at $address"
done
for n in 1 2; do
  start "desk$n" "$build/fake-desk" --listen "127.0.0.3$n:0"
  address=$(address_of "desk$n")
  list_host "{\"address\":\"$address\",\"role\":\"desk\",\"zone\":\"zone-a\",\"service\":\"job-desk\",\"version\":\"desk-1\"}"
  say "desk stand-in at $address"
done

public=$("$build/sorrelbay" keys generate --out "$dir/operator.pem" | grep -oE '[0-9a-f]{64}')
say "operator key generated: $public"

mapfile -t ports < <("$build/free-port" 127.0.0.11 127.0.0.12 127.0.0.13 127.0.0.11 127.0.0.12 127.0.0.13)
for n in 1 2 3; do
  cat >"$dir/daemon$n.toml" <<EOF
host = "entry-$n"
zone = "zone-$([ "$n" = 1 ] && echo a || echo b)"
listen = "${ports[$((n - 1))]}"
platform = "$platform"
operator_keys = ["$public"]

[peer]
listen = "${ports[$((n + 2))]}"
seeds = ["${ports[3]}"]
secret = "the demo's peers know this"

[times]
poll_interval_ms = 100

[traces]
enabled = true
EOF
  "$build/sorrelbayd" --check --settings "$dir/daemon$n.toml" >/dev/null
  start "daemon$n" "$build/sorrelbayd" --settings "$dir/daemon$n.toml"
  list_host "{\"address\":\"${ports[$((n - 1))]}\",\"peer_address\":\"${ports[$((n + 2))]}\",\"role\":\"entry\",\"zone\":\"zone-$([ "$n" = 1 ] && echo a || echo b)\"}"
  say "sorrelbayd entry-$n at ${ports[$((n - 1))]}"
done

write_bundle() {
  cat >"$dir/bundle-$1.toml" <<EOF
generation = $1

[[service]]
id = "quote-model"
kind = "engine"
deadline_policy = "in_time"

[[service]]
id = "job-desk"
kind = "desk"

[[version]]
id = "quote-1"
service = "quote-model"
share = $2

[[version]]
id = "desk-1"
service = "job-desk"
share = 1.0
$3
[[route]]
id = "chat"
service = "quote-model"
latency_target_ms = 550
token_target_ms = 74

[[route]]
id = "quote"
service = "quote-model"
latency_target_ms = 550
token_target_ms = 74

[[route]]
id = "booking"
service = "job-desk"
repeatable = false
priority = 10
latency_target_ms = 1000

[[route]]
id = "lookup"
service = "job-desk"
latency_target_ms = 300

[[team]]
id = "crew-leads"
weight = 1
EOF
}

roll() {
  "$build/sorrelbay" bundle check "$dir/bundle-$1.toml" >/dev/null || fail "bundle $1 has faults"
  "$build/sorrelbay" bundle sign "$dir/bundle-$1.toml" --key "$dir/operator.pem" --out "$dir/bundle-$1.signed" >/dev/null
  "$build/sorrelbay" bundle roll "$dir/bundle-$1.signed" --platform "$platform"
}

say ""
say "operator: checks, signs and rolls generation 1"
write_bundle 1 1.0 ""
roll 1
for n in 1 2 3; do
  await curl -sf "http://${ports[$((n - 1))]}/readyz"
done
say "all daemons are ready"

say ""
addresses=$(curl -sf "http://${ports[0]}/v1/addresses")
entry=$(printf '%s' "$addresses" | grep -oE '127\.[0-9.]+:[0-9]+' | head -1)
say "caller: asks for an address and is told $entry"
call() {
  local path=$1 route=$2 body=$3
  shift 3
  curl -sfN -X POST "http://$entry$path" -H 'X-Team: crew-leads' -H "X-Route: $route" "$@" -d "$body"
}
chat=$(call /v1/chat/completions chat '{"model":"quote-model","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"How long does oak take to settle?"}]}')
printf '%s' "$chat" | grep -q 'data: \[DONE\]' || fail "the chat's stream has no end"
say "caller: streamed a chat of $(printf '%s' "$chat" | grep -c '"content"') tokens, whole"
quote=$(call /v1/chat/completions quote '{"model":"quote-model","max_tokens":12,"messages":[{"role":"user","content":"Quote 42 m2 of oak"}]}')
say "caller: got a quote: $(printf '%s' "$quote" | cut -c1-100)..."
booking=$(call /v1/desk/booking booking '{"crew":7,"day":"2026-12-09"}' -H 'Idempotency-Key: visit-42' -H 'X-Attempt: 1')
say "caller: booked: $booking"
say "caller: looked a job up: $(call /v1/desk/lookup lookup '{"job":42}')"

say ""
say "operator: rolls generation 2, which moves all calls to quote-2 within a minute"
write_bundle 2 0.0 '
[[version]]
id = "quote-2"
service = "quote-model"
share = 1.0
deadline_in_s = 60
'
roll 2
for n in $(seq 1 3000); do
  for route in chat quote; do
    call /v1/chat/completions $route "{\"model\":\"quote-model\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"question $n\"}]}" >/dev/null
  done
  state=$("$build/sorrelbay" status --json --platform "$platform" | tr -d ' \n' | grep -oE '"state":"[a-z_]+"' | head -1) || state=""
  [ "$state" = '"state":"done"' ] && break
done
"$build/sorrelbay" status --platform "$platform"
[ "$state" = '"state":"done"' ] || fail "the move did not end as done: $state"
say "operator: the move is done after $n rounds of calls"
say ""
say "demo: every step succeeded"
