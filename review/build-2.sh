#!/bin/sh
# Builds the stand-ins of the second review's cases. The deploy file's build has to run first: it builds the project's
# own programs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-2 ./review/_standin-2
