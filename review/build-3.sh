#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Run it at any place after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/scene
