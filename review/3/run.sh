#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" unreadable-entry "$(cd "$(dirname "$0")" && pwd)"
