#!/bin/sh
# Compiles every stand-in that the scripts start. Needs no network.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX=target/review-pycache exec python3 -m compileall -q \
    review tools/loopback
