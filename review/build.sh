#!/bin/sh
# The stand-ins are Python 3 scripts (review/lib/standin.py, standard library only): there is nothing to build.
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
