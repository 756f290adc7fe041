#!/usr/bin/env bash
# Writes record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-case.sh" cut-replica "$folder/record.txt"
