#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" cut-replica "$(cd "$(dirname "$0")" && pwd)"
