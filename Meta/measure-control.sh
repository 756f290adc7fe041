#!/usr/bin/env bash
# Measures what a daemon spends on control alone, without callers: processor
# time, memory, and calls of the platform, by daemons and listed replicas.
# Usage: Meta/measure-control.sh BUILD [DAEMONS:REPLICAS ...]
set -euo pipefail
build=$1
shift
[ $# -gt 0 ] || set -- 3:10 3:100 3:500 8:10 16:10
seconds=10

# Measures one size; everything it starts ends with its subshell.
measure() (
  daemons=$1
  replicas=$2
  dir=$(mktemp -d)
  pids=()
  trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$dir"' EXIT
  "$build/fake-platform" --listen 127.0.0.1:0 >"$dir/platform" & pids+=($!)
  # One engine answers for all replicas: each has a loopback address of its own.
  "$build/fake-engine" --listen 0.0.0.0:0 >"$dir/engine" & pids+=($!)
  until grep -q listening "$dir/platform" && grep -q listening "$dir/engine"; do sleep 0.05; done
  platform=$(cut -d' ' -f2 "$dir/platform")
  port=$(cut -d: -f2 "$dir/engine")
  for n in $(seq "$replicas"); do
    echo "{\"address\":\"127.9.$((n / 250)).$((n % 250 + 1)):$port\",\"role\":\"engine\",\"zone\":\"z$((n % 4))\",\"service\":\"model\",\"version\":\"v1\"}"
  done | while read -r host; do curl -sf -X POST "http://$platform/admin/hosts" -d "$host" >/dev/null; done
  key=$("$build/sorrelbay" keys generate --out "$dir/key.pem" | grep -oE '[0-9a-f]{64}')
  hosts=()
  for n in $(seq "$daemons"); do hosts+=("127.8.0.$n" "127.8.0.$n"); done
  mapfile -t ports < <("$build/free-port" "${hosts[@]}")
  for n in $(seq 0 $((daemons - 1))); do
    cat >"$dir/$n.toml" <<EOF
host = "e$n"
zone = "z$((n % 4))"
listen = "${ports[$((2 * n))]}"
platform = "$platform"
operator_keys = ["$key"]
[peer]
listen = "${ports[$((2 * n + 1))]}"
seeds = ["${ports[1]}"]
secret = "measured alone here"
EOF
    "$build/sorrelbayd" --settings "$dir/$n.toml" >"$dir/$n.log" 2>&1 & pids+=($!)
  done
  printf 'generation = 1\n[[service]]\nid = "model"\nkind = "engine"\n[[version]]\nid = "v1"\nservice = "model"\n[[route]]\nid = "chat"\nservice = "model"\nlatency_target_ms = 550\n[[team]]\nid = "crew"\n' >"$dir/b.toml"
  "$build/sorrelbay" bundle sign "$dir/b.toml" --key "$dir/key.pem" --out "$dir/b" >/dev/null
  "$build/sorrelbay" bundle roll "$dir/b" --platform "$platform" >/dev/null
  until curl -sf "http://${ports[0]}/readyz" >/dev/null; do sleep 0.1; done
  sleep 3
  last=${pids[-1]}
  ticks() { sed 's/.*) //' "/proc/$last/stat" | cut -d' ' -f12,13 | tr ' ' '+' | bc; }
  calls() { curl -sf "http://$platform/admin/counters" | tr -d '{}"' | tr ',' '\n' | grep -E '^(reads|writes):' | cut -d: -f2 | paste -sd+ | bc; }
  lists() { curl -sf "http://$platform/admin/counters" | tr -d '{}"' | tr ',' '\n' | grep -E '^host_lists:' | cut -d: -f2; }
  t0=$(ticks); c0=$(calls); l0=$(lists)
  sleep "$seconds"
  t1=$(ticks); c1=$(calls); l1=$(lists)
  echo "$daemons daemons, $replicas replicas: $(echo "scale=2; ($t1-$t0)/$seconds" | bc)% of a core a daemon, $(awk '/VmRSS/ {printf "%.1f", $2/1000}' "/proc/$last/status") MB, object API $(echo "scale=2; ($c1-$c0)/$seconds/$daemons" | bc) calls/s a daemon, host list $(echo "scale=2; ($l1-$l0)/$seconds/$daemons" | bc)/s a daemon"
)

for size in "$@"; do
  measure "${size%%:*}" "${size##*:}"
done
