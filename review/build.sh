#!/bin/sh
# Builds the stand-ins that the cases start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-9]/main.go; do
  case=$(basename "$(dirname "$main")")
  go build -buildvcs=false -o "target/review/case-$case" "./review/$case"
done
