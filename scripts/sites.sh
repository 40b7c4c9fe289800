#!/usr/bin/env bash
# sites.sh SITE FOLDER: derives deployments of our own from a site file, one for
# each thing that the site itself doesn't have. They are written to FOLDER, outside
# the repository, with the site's wire.json beside them.
set -euo pipefail
if [ $# -ne 2 ]; then
  echo "usage: $0 SITE FOLDER" >&2
  exit 2
fi
site=$1 folder=$2
mkdir -p "$folder"
cp "$(dirname "$site")/wire.json" "$folder/"

# derive NAME EXPRESSION...: the site under another name, changed by sed.
derive() {
  local name=$1 args=()
  shift
  for expression in "$@"; do args+=(-e "$expression"); done
  sed -E -e "0,/^name = /s/^name = .*/name = \"own-$name\"/" "${args[@]}" "$site" > "$folder/own-$name.toml"
}

# Workers get their orders with the answers to their heartbeats.
derive beats 's/^by_beat = false/by_beat = true/'
# The second class's tasks run until they are cancelled, and few may be away.
derive lasting '/^  \{ name = "(report-build|id-scan-batch)"/ { s/needs = 0.0/needs = 0.0, lasts = true, may_miss = 1.0/; s/twice = [0-9.]+/twice = 0.0/ }' \
  's/(report-build|id-scan-batch) = [0-9.]+/\1 = 0.25/g'
# Gangs that want one rack, data near racks.
derive racks 's/tight = 0.0/tight = 0.5/g' 's/near = 0.0/near = 0.4/g'
# Jobs that are repeated at set times.
derive timed 's/timed = 0.0/timed = 0.1/g'
# Workers refuse what doesn't fit, and orders for machines are checked for fences.
derive guarded 's/guards = false/guards = true/' 's/^fenced = false/fenced = true/'
# Leases of three seconds at most.
derive short 's/^hold_max_ms = .*/hold_max_ms = 3000.0/'
# More instances with a disk: two in each data centre.
derive disks 's/(class = "core".*) count = 1/\1 count = 2/'
ls "$folder"/own-*.toml | wc -l
