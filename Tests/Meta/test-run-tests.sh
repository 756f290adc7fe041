#!/usr/bin/env bash
# Tests Meta/run-tests.sh with fake test programs that print what Boost.Test
# prints. Closes with a line 'run-tests: N checks passed' or exits with 1.
set -uo pipefail
script=$(cd "$(dirname "$0")/../.." && pwd)/Meta/run-tests.sh
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
checks=0

# fake NAME EXIT_CODE LINE...: a program that prints the lines.
fake() {
  local name=$1 code=$2
  shift 2
  { echo '#!/usr/bin/env bash'; for line in "$@"; do printf 'echo %q\n' "$line"; done; echo "exit $code"; } >"$directory/build/$name"
  chmod +x "$directory/build/$name"
}

# expect DESCRIPTION EXIT_CODE PATTERN...: runs the script and compares.
expect() {
  local description=$1 code=$2 output got
  shift 2
  output=$(cd "$directory" && "$script" build 2>&1)
  got=$?
  [ "$got" -eq "$code" ] || { printf 'FAILED: %s: exit code %s, expected %s\n%s\n' "$description" "$got" "$code" "$output"; exit 1; }
  for pattern in "$@"; do
    grep -qF -- "$pattern" <<<"$output" || { printf 'FAILED: %s: no line with "%s"\n%s\n' "$description" "$pattern" "$output"; exit 1; }
  done
  checks=$((checks + 1))
}

begin() { rm -rf "$directory/build"; mkdir "$directory/build"; : >"$directory/KNOWN-RED.txt"; }
known() { echo "$1 | command | what was seen | 20" >>"$directory/KNOWN-RED.txt"; }

entering=('Entering test module "m"' 'a.cpp(1): Entering test suite "s"' 'a.cpp(2): Entering test case "one"')
failing='a.cpp(3): error: in "s/one": check x has failed'
leaving=('a.cpp(2): Leaving test case "one"; testing time: 1us' 'a.cpp(1): Leaving test suite "s"; testing time: 1us' 'Leaving test module "m"; testing time: 1us')

begin
fake TestA 0 "${entering[@]}" "${leaving[@]}"
expect 'a program that passes' 0 'TestA: 1 cases, 0 not passed' '1 passed, 0 failed'

begin
fake TestA 201 "${entering[@]}" "$failing" "${leaving[@]}"
expect 'a case that fails' 1 'FAILED: TestA s/one' '0 passed, 1 failed'
known 'TestA s/one'
fake TestB 0 "${entering[@]}" "${leaving[@]}"
expect 'a case that is listed' 0 'known red: TestA s/one' '1 passed, 0 failed'

begin
fake TestA 201 "${entering[@]}" "$failing" "${leaving[@]}"
fake TestB 0 "${entering[@]}" "${leaving[@]}"
known 'TestA s/one_more'
expect 'a case whose name is the beginning of a listed one' 1 'FAILED: TestA s/one'

begin
fake TestA 201 "${entering[@]}" "$failing" "${leaving[@]}"
fake TestB 0 "${entering[@]}" "${leaving[@]}"
echo 'TestC s/two | TestA s/one passes | what was seen | 20' >"$directory/KNOWN-RED.txt"
expect 'a case that is only mentioned in an entry' 1 'FAILED: TestA s/one'

begin
fake TestA 134 "${entering[@]}" "$failing" 'a.cpp(2): Leaving test case "one"; testing time: 1us' 'a.cpp(9): Entering test case "two"'
fake TestB 0 "${entering[@]}" "${leaving[@]}"
known 'TestA s/one'
expect 'a crash beside a listed case' 1 'known red: TestA s/one' 'FAILED: TestA crashed in two (exit code 134)'

begin
fake TestA 201 "${entering[@]}" "$failing" 'a.cpp(2): Leaving test case "one"; testing time: 1us' 'a.cpp(9): Entering test case "two"'
fake TestB 0 "${entering[@]}" "${leaving[@]}"
known 'TestA s/one'
expect 'a run that ends early beside a listed case' 1 'FAILED: TestA crashed in two (exit code 201)'

begin
fake TestA 200 "${entering[@]}" "${leaving[@]}"
expect 'a program that fails outside its cases' 1 'FAILED: TestA crashed'

begin
fake TestA 0 "${entering[@]}" "${leaving[@]}"
known 'TestA s/one'
expect 'a listed case that passes' 0 'listed in KNOWN-RED.txt but passed: TestA s/one'

echo "run-tests: $checks checks passed"
