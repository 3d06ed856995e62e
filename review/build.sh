#!/bin/sh
# Builds the stand-ins of the cases: they are Python files that need the deploy file's .venv alone.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m py_compile review/standins.py review/*/drive.py
