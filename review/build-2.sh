#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start; run it after the build of the deploy file.
# They are Python programs that need the standard library and the project's own packages: they are compiled here.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q stalltiller review/stand_ins_2.py review/6 review/7 review/8 review/9 review/10
