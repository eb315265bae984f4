#!/bin/sh
# Builds the stand-ins that the scripts of the cases 4 to 8 start. Needs the
# compiler and GLib, which the build of the deploy file needs as well.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/[4-8]/*.c
do
	test -e "$source" || continue
	number=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2046
	cc -O1 -Wall -Wextra -Wno-unused-parameter -o "$out/case-$number" \
		"$source" review/standins-2.c \
		$(pkg-config --cflags --libs glib-2.0)
done
