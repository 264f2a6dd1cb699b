#!/usr/bin/env bash
# Builds the program of the scripts of review 3, with all its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/standin-3
