#!/usr/bin/env bash
# Runs every test program, counts test cases, and closes with one line
# 'N passed, N failed'. A case may fail if the first field of a line of
# KNOWN-RED.txt is exactly 'PROGRAM SUITE/CASE'; such cases are printed. A
# program that crashes or ends early always fails.
set -uo pipefail
build=$1
passed=0
failed=0
known=0

# The exit code of a Boost.Test program some of whose cases failed.
readonly CasesFailed=201

listed_tests() { grep -vE '^[[:space:]]*(#|$)' KNOWN-RED.txt 2>/dev/null | cut -d'|' -f1 | sed -E 's/[[:space:]]+$//'; }
is_known_red() { listed_tests | grep -qxF "$1"; }

# Prints how the program that wrote the log ended early, or nothing.
crash_of() {
  local log=$1 code=$2 bad=$3 last
  if [ "$(grep -c 'Entering test case' "$log")" -ne "$(grep -c 'Leaving test case' "$log")" ] || ! grep -q 'Leaving test module' "$log"; then
    last=$(sed -nE 's/.*Entering test case "([^"]+)".*/\1/p' "$log" | tail -1)
    echo "crashed in ${last:-no case} (exit code $code)"
  elif [ "$code" -ne 0 ] && [ "$code" -ne $CasesFailed ]; then
    echo "crashed (exit code $code)"
  elif [ "$code" -ne 0 ] && [ -z "$bad" ]; then
    echo "failed outside its cases (exit code $code)"
  fi
}

for program in "$build"/Test*; do
  [ -x "$program" ] && [ ! -d "$program" ] || continue
  name=$(basename "$program")
  log="$build/$name.log"
  "$program" --log_level=test_suite --report_level=no --color_output=no >"$log" 2>&1
  code=$?
  cases=$(grep -cE 'Leaving test case' "$log")
  bad=$(grep -E 'error: in "' "$log" | sed -E 's/.*error: in "([^"]+)".*/\1/' | sort -u)
  crash=$(crash_of "$log" $code "$bad")
  n=0
  while IFS= read -r case; do
    [ -n "$case" ] || continue
    if is_known_red "$name $case"; then
      echo "known red: $name $case"
      known=$((known + 1))
    else
      echo "FAILED: $name $case"
      grep -F "error: in \"$case\"" "$log" | head -5
      failed=$((failed + 1))
    fi
    n=$((n + 1))
  done <<<"$bad"
  if [ -n "$crash" ]; then
    echo "FAILED: $name $crash"
    failed=$((failed + 1))
  fi
  while IFS= read -r case; do
    [ -n "$case" ] && ! grep -qxF "$case" <<<"$bad" && grep -qF "Leaving test case \"${case##*/}\"" "$log" &&
      echo "listed in KNOWN-RED.txt but passed: $name $case"
  done < <(listed_tests | sed -nE "s|^$name ([^ ]+)$|\1|p")
  [ "$n" -eq 0 ] && [ -z "$crash" ] || tail -25 "$log"
  passed=$((passed + (cases > n ? cases - n : 0)))
  echo "$name: $cases cases, $n not passed"
done
[ $known -eq 0 ] || { echo "known red tests:"; grep -vE '^[[:space:]]*(#|$)' KNOWN-RED.txt; }
echo "$passed passed, $failed failed"
[ $failed -eq 0 ] && [ $passed -gt 0 ]
