#!/bin/sh
# Runs the case in a folder: sh review/run_case.sh review/N
case_folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH=target/deps:src:.:review/lib
# On a time-out the case ends its processes, and exits with 2.
exec timeout --preserve-status -k 5 112 python3 "$case_folder/case.py"
