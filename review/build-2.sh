#!/bin/bash
# The stand-ins of the cases 6 to 10 are Python programs of the standard library. There is nothing to compile; this
# checks that an interpreter is there that can read them.
cd "$(dirname "$0")" || exit 1
python3 - lib2/*.py [6-9]/case.py 10/case.py <<'PYTHON'
import ast, os, sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            ast.parse(file.read(), path)
PYTHON
