#!/usr/bin/env bash
# days.sh SITE FOLDER: generates days, the test scenarios that the bench plays. Each
# combines one fragment of deploy/days, which describes one kind of disruption, with the
# traffic of the first day in a site file. They are written to FOLDER, which should be
# outside the repository.
set -euo pipefail
if [ $# -ne 2 ]; then
  echo "usage: $0 SITE FOLDER" >&2
  exit 2
fi
site=$1 folder=$2
here=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$folder"
traffic=$(awk '/^\[\[day\]\]/ { day++ } day == 1 && /^traffic = \[/ { on = 1 } on { print } on && /^\]/ { exit }' "$site")
for fragment in "$here"/deploy/days/*.toml; do
  name=$(basename "$fragment" .toml)
  {
    printf 'name = "%s"\nslot = "trouble"\nlength_s = 41.0\n' "$name"
    printf 'one = 0.8\nzero = 0.4\ngoal = { floor = 0.3 }\nlabels = []\nwall = 5.0\nlight = false\n'
    cat "$fragment"
    printf '%s\n' "$traffic"
  } > "$folder/$name.toml"
done
ls "$folder" | wc -l
