#!/usr/bin/env bash
# landing.sh BENCH FOLDER [JOBS]: runs the regression tests that precede a landing, with
# the bench program at BENCH and the site files under FOLDER. Each deployment plays its
# standard days (bench command "score"), then days of the bench command "hunt": 40 for a
# small deployment, 8 for a large one. JOBS is passed to the bench as --jobs. Deployments
# run one after the other; their output goes to target/landing/. Takes hours on a small
# machine.
set -euo pipefail
if [ $# -lt 2 ]; then
  echo "usage: $0 BENCH FOLDER [JOBS]" >&2
  exit 2
fi
bench=$1 folder=$2 jobs=${3:-4}
cd "$(dirname "$0")/.."
mkdir -p target/landing

# Site file of each deployment, and its number of days for "hunt".
deployments="shifted/rackwise-shared-now-grown 40
large/rackwise-shared-large 8
further/sea-fanarchiv 40
further-grown/sea-fanarchiv-grown 8
grown/rackwise-shared-grown 8
grown/hls-kiosk-grown 8"

why="regression runs before a landing, $(git rev-parse --short HEAD)"
while read -r site days; do
  out=target/landing/$(basename "$site")
  "$bench" score "$folder/$site.toml" --jobs "$jobs" --why "$why" > "$out-score.txt" 2>&1 </dev/null || true
  "$bench" hunt "$folder/$site.toml" --days "$days" --jobs "$jobs" --why "$why" > "$out-hunt.txt" 2>&1 </dev/null || true
  grep -hE 'GATE|BROKEN' "$out"-*.txt || echo "$site: nothing reported"
done <<< "$deployments"
