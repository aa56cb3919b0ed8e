#!/usr/bin/env bash
# Builds the programs that the cases 6 to 10 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review
for case in review/6 review/7 review/8 review/9 review/10; do
  if [ -f "$case/main.go" ]; then
    CGO_ENABLED=1 go build -ldflags=-linkmode=external -o "bin/review/$(basename "$case")" "./$case"
  fi
done
