#!/bin/sh
# Runs a trial that is no case: keepers, slow_reader or slow_senders. Exits as the cases' scripts do; TROUBLE=0 as well.
here="$(cd "$(dirname "$0")" && pwd)"
ROOT="$(cd "$here/.." && pwd)"
export ROOT
stand="$ROOT/target/review/release/${1:?a trial: keepers, slow_reader or slow_senders}"
if [ ! -x "$stand" ] || [ ! -x "$ROOT/target/release/cleatshelf" ]; then
    echo "build first: the deploy file's build, and review/build.sh" >&2
    exit 2
fi
temp="$(mktemp -d)" || exit 2
trap 'rm -rf "$temp"' EXIT
"$stand" "$temp/record.txt" "$temp"
rc=$?
case "$rc" in 0 | 1 | 2) exit "$rc" ;; *) exit 2 ;; esac
