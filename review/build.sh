#!/usr/bin/env bash
# Builds the stand-ins of the scripts: plain modules of Node.js, which need no more than a check.
set -euo pipefail
cd "$(dirname "$0")"
for file in standIns/*.mjs */case.mjs; do node --check "$file"; done
