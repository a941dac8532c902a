#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
