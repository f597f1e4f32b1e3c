#!/bin/sh
# Runs the case after a fresh build (make build). Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "cannot run: python3 is missing"; exit 2; }
exec python3 -B case.py
