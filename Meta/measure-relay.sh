#!/usr/bin/env bash
# Measures what the relay adds: first-token latency against calling the engine
# stand-in directly, tokens a second of processor time, memory a stream.
# Usage: Meta/measure-relay.sh BUILD [STREAMS ...]
set -euo pipefail
build=$1
shift
[ $# -gt 0 ] || set -- 1 50 300
dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}
address_of() {
  until grep -q '^listening' "$dir/$1.log"; do sleep 0.05; done
  grep -m1 '^listening' "$dir/$1.log" | cut -d' ' -f2
}

start platform "$build/fake-platform" --listen 127.0.0.1:0
platform=$(address_of platform)
start engine "$build/fake-engine" --listen 127.0.0.21:0 --token-us 50000 --capacity 5000
engine=$(address_of engine)
curl -sf -X POST "http://$platform/admin/hosts" -d "{\"address\":\"$engine\",\"role\":\"engine\",\"zone\":\"z\",\"service\":\"model\",\"version\":\"v1\"}" >/dev/null
key=$("$build/sorrelbay" keys generate --out "$dir/key.pem" | grep -oE '[0-9a-f]{64}')
mapfile -t ports < <("$build/free-port" 127.0.0.11 127.0.0.11)
cat >"$dir/d.toml" <<EOF
host = "e"
zone = "z"
listen = "${ports[0]}"
platform = "$platform"
operator_keys = ["$key"]
[peer]
listen = "${ports[1]}"
secret = "measured alone here"
EOF
cat >"$dir/b.toml" <<EOF
generation = 1
[[service]]
id = "model"
kind = "engine"
[[version]]
id = "v1"
service = "model"
share = 1.0
[[route]]
id = "chat"
service = "model"
latency_target_ms = 550
token_target_ms = 74
[[team]]
id = "crew"
EOF
start daemon "$build/sorrelbayd" --settings "$dir/d.toml"
daemon=${pids[-1]}
"$build/sorrelbay" bundle sign "$dir/b.toml" --key "$dir/key.pem" --out "$dir/b.signed" >/dev/null
"$build/sorrelbay" bundle roll "$dir/b.signed" --platform "$platform" >/dev/null
until curl -sf "http://${ports[0]}/readyz" >/dev/null; do sleep 0.1; done
for streams in "$@"; do
  rounds=$((streams < 50 ? 20 : 4))
  echo "== $streams open streams, 20 tokens a second each"
  "$build/sorrelbay-load" --target "${ports[0]}" --direct "$engine" --process "$daemon" --streams "$streams" --rounds "$rounds" --tokens 40
done
