#!/usr/bin/env bash
# The stand-ins of the scripts are in lib/standin.py (Python 3, standard library only); nothing has to
# be compiled. This checks that Python is there and can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, sys; [ast.parse(open(path).read(), path) for path in sys.argv[1:]]' lib/*.py [1-5]/case.py
