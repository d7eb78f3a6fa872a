#!/bin/sh
# Builds what the scripts of the third review start besides the sidecars. The
# stand-ins are Python programs, so that this only compiles them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q tools/loopback review/standins_3 review/11 review/12 review/13
