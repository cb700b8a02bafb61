#!/bin/sh
# Builds the stand-ins of the second review, which need nothing but Python.
cd "$(dirname "$0")" && exec python3 -m compileall -q kit2 6 7 8 9 10
