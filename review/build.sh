#!/bin/sh
# Builds the stand-ins of the scripts into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.cc
do
	number=$(basename "$(dirname "$case")")
	g++ -std=c++17 -O1 -Wall -pthread -I. -o "target/review/case-$number" "$case"
done
