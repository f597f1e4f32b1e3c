#!/bin/sh
# Builds the stand-ins of cases 6 to 10 with the JDK alone: no dependency, no network.
set -e
cd "$(dirname "$0")/standin-2"
rm -rf classes
mkdir classes
javac -Xlint:all,-try -d classes *.java
