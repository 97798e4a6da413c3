#!/usr/bin/env bash
# Compiles the stand-ins of the review's scripts. Run it after the build of deploy/system.toml; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -proc:none -nowarn -cp target/mustardlink.jar -d target/review review/standins/*.java
