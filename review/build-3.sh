#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15. They are Python scripts without dependencies, so that there is
# nothing to compile; this only checks that the interpreter is there and reads them.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import ast, glob, sys
assert sys.version_info >= (3, 9), sys.version
for path in glob.glob("lib3/*.py") + glob.glob("1[1-5]/*.py"):
    ast.parse(open(path).read(), path)
'
