#!/bin/sh
# After the deploy file's build: checks that everything the cases 6 to 10 start is there. The stand-ins are plain
# Python (`standins2.py` and each `case.py`) and need no compiler and no package beyond the project's own.
cd "$(dirname "$0")/.." || exit 2
test -d .native || exit 2
exec .venv/bin/python -B - review/standins2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py <<'END'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text("utf-8"), name, "exec")
sys.path[:0] = ["review", "."]
import olivecourse.fronts.tokens  # signs the links and order tokens of the cases
import standins2
END
