#!/usr/bin/env bash
# Builds the stand-ins of the cases beside the programs of the deploy file. They need the
# standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
