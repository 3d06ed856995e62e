#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the gateway. Run it after the build of the deploy
# file. All stand-ins are plain Python in review/harness2.py and the cases: they are compiled to byte code, which
# also shows that the interpreter of the build can read them.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || exit 1
for number in 6 7 8 9 10; do
    test ! -e "review/$number/case.py" || .venv/bin/python -m py_compile "review/$number/case.py" || exit 1
done
exec .venv/bin/python -m py_compile review/harness2.py
