#!/bin/sh
# Builds the stand-ins that the review's scripts start. The build of the deploy file comes
# first; nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -r packages/medlargate-standins/medlargate_standins target/review/
cp review/standins/*.py target/review/
python3 -m compileall -q target/review
PYTHONPATH=target/deps:target/review python3 -c "import deployment"
