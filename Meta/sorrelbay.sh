#!/usr/bin/env bash
# The one script of the project. Usage: Meta/sorrelbay.sh COMMAND
#   setup   install the Debian packages
#   build   configure and build everything into build/
#   format  rewrite the sources in the house's format
#   lint    formatter (check only) and clang-tidy
#   demo    set up, build, and show the whole path with real processes
#   test    lint, build, all tests; closes with 'N passed, N failed'
#   soak    [--seeds N] the long randomised runs
#   bench   run sorrelbay-bench with the rest of the arguments
#   relay   [STREAMS ...] measure what relaying adds to an engine's answers
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${SORRELBAY_BUILD:-build}

PACKAGES="g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl
  libwebsocketpp-dev prometheus-cpp-dev libcpp-httplib-dev libcli11-dev
  libgoogle-glog-dev libboost-test-dev libboost-system-dev libboost-dev
  libtomlplusplus-dev nlohmann-json3-dev libxxhash-dev libssl-dev
  libbrotli-dev zlib1g-dev"

sources() { git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | while read -r f; do [ -e "$f" ] && echo "$f"; done; }

setup() {
  local missing=()
  for p in $PACKAGES; do
    dpkg -s "$p" >/dev/null 2>&1 || missing+=("$p")
  done
  if [ ${#missing[@]} -eq 0 ]; then
    echo "setup: all packages are installed"
    return
  fi
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
  echo "setup: installed ${missing[*]}"
}

configure() { cmake -S . -B "$BUILD" -G Ninja >"$BUILD.configure.log" 2>&1 || { cat "$BUILD.configure.log"; return 1; }; mv "$BUILD.configure.log" "$BUILD/configure.log"; }
build() { configure; cmake --build "$BUILD" -j "$(nproc)"; }
format() { sources | xargs clang-format -i; }

check_format() {
  sources | xargs clang-format --dry-run -Werror
  echo "lint: format is clean"
}

lint() {
  check_format
  build
  Meta/check-platform-names.sh
  Meta/tidy.sh "$BUILD"
}

test_all() {
  Tests/Meta/test-run-tests.sh
  lint
  Meta/run-tests.sh "$BUILD"
}

# Every randomised case, inside a suite or not, with as many seeds as wanted.
soak() {
  local seeds=100
  [ "${1:-}" = --seeds ] && seeds=$2
  for program in TestLibDecision TestLibPeer TestLibServing; do
    SORRELBAY_SOAK_SEEDS=$seeds "$BUILD/$program" --run_test='*randomised*:*/*randomised*' --log_level=message
  done
}

command=${1:-help}
[ $# -gt 0 ] && shift
case "$command" in
  setup) setup ;;
  build) build ;;
  format) format ;;
  lint) lint ;;
  demo) setup; build >/dev/null; Meta/demo.sh "$BUILD" ;;
  test) test_all ;;
  soak) build >/dev/null; soak "$@" ;;
  bench) build >/dev/null; exec "$BUILD/sorrelbay-bench" "$@" ;;
  relay) build >/dev/null; Meta/measure-relay.sh "$BUILD" "$@" ;;
  *) sed -n '2,12p' "$0" | sed 's/^# \{0,1\}//'; [ "$command" = help ] ;;
esac
