#!/usr/bin/env bash
# Every relative link and every path in a command of the docs leads somewhere.
set -euo pipefail
cd "$(dirname "$0")/.."

bad=0
while IFS= read -r page; do
    folder=$(dirname "$page")
    while IFS= read -r link; do
        case "$link" in http*|"#"*) continue ;; esac
        if [ ! -e "$folder/${link%%#*}" ]; then
            echo "$page: no such file: $link"
            bad=1
        fi
    done < <(grep -oE '\]\([^)]+\)' "$page" | sed 's/^](//; s/)$//')
    while IFS= read -r path; do
        if [ ! -e "$path" ]; then
            echo "$page: no such file: $path"
            bad=1
        fi
    done < <(grep -oE '(crates|examples|scripts|docs)/[A-Za-z0-9_./-]*[A-Za-z0-9_]' "$page" | sort -u)
    while IFS= read -r name; do
        if ! grep -q "name = \"$name\"" crates/lab/src/main.rs crates/cleatshelf/src/command.rs; then
            echo "$page: no such command: $name"
            bad=1
        fi
    done < <(grep -oE 'cargo run [^`|]*-p (lab|cleatshelf) -- [a-z]+' "$page" | awk '{print $NF}' | sort -u)
done < <(git ls-files '*.md')
exit "$bad"
