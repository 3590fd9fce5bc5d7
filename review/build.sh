#!/bin/sh
# Builds the stand-ins of the review. They are Python without dependencies
# besides those that the deploy file installs, so this only checks that they can
# be loaded.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:.:review/lib \
  exec python3 -c "import harness"
