#!/bin/sh
# Builds the stand-ins that the cases start. The project's own programs are built by the deploy file's command.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && go build -o review/bin/standin ./review/_standin
