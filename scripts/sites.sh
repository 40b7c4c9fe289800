#!/usr/bin/env bash
# sites.sh SITE FOLDER: derives variants of a site file, one for each feature that the
# site itself doesn't have. They are written to FOLDER, outside the repository, together
# with the site's wire.json.
set -euo pipefail
if [ $# -ne 2 ]; then
  echo "usage: $0 SITE FOLDER" >&2
  exit 2
fi
site=$1 folder=$2
mkdir -p "$folder"
cp "$(dirname "$site")/wire.json" "$folder/"

# derive NAME EXPRESSION... writes the site as own-NAME, changed by sed expressions.
derive() {
  local name=$1 args=()
  shift
  for expression in "$@"; do args+=(-e "$expression"); done
  sed -E -e "0,/^name = /s/^name = .*/name = \"own-$name\"/" "${args[@]}" "$site" > "$folder/own-$name.toml"
}

# Workers receive orders in the responses to their heartbeats.
derive beats 's/^by_beat = false/by_beat = true/'
# Tasks of report-build and id-scan-batch are long-running: they run until cancelled.
# Only few of them may be missing at a time.
derive lasting '/^  \{ name = "(report-build|id-scan-batch)"/ { s/needs = 0.0/needs = 0.0, lasts = true, may_miss = 1.0/; s/twice = [0-9.]+/twice = 0.0/ }' \
  's/(report-build|id-scan-batch) = [0-9.]+/\1 = 0.25/g'
# Some gangs prefer a single rack; some data is close to certain racks.
derive racks 's/tight = 0.0/tight = 0.5/g' 's/near = 0.0/near = 0.4/g'
# Some jobs recur at set times.
derive timed 's/timed = 0.0/timed = 0.1/g'
# Workers refuse tasks that don't fit, and the fencing tokens of orders for machines are
# checked.
derive guarded 's/guards = false/guards = true/' 's/^fenced = false/fenced = true/'
# Leases last at most 3 s.
derive short 's/^hold_max_ms = .*/hold_max_ms = 3000.0/'
# Two instances with a disk in each data centre instead of one.
derive disks 's/(class = "core".*) count = 1/\1 count = 2/'
ls "$folder"/own-*.toml | wc -l
