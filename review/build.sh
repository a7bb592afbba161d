#!/bin/sh
# Builds the stand-ins that the cases start. All are Python: they are compiled to bytecode, which finds errors.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q olivecourse/emulator review
