#!/bin/sh
# Builds the stand-ins and the drivers of the cases. Needs the Go toolchain, and no network once the build of the deploy file has run: they use
# the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[0-9]*; do
  go build -o "review/bin/case-$(basename "$case")" "./$case"
done
