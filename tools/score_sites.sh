#!/usr/bin/env bash
# Plays the standard days of the sites in force and prints each day's worth
# beside the last landed one of the same kind of machine:
#
#   FLEETBENCH=PROGRAM SITES=FOLDER tools/score_sites.sh REASON [--quick]
#
# FOLDER holds the users' site files; LIST, if set, names another list of sites
# than tools/sites_in_force.txt. The landed figures are in docs/scores.tsv. Those
# of different kinds of machine cannot be compared. A line with "FELL" is lower
# than them by more than repeats differ, and makes the script fail, as does a
# site that does not pass the gate.
set -eu
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?the users\' bench}" "${SITES:?the folder of the site files}"
reason=${1:?the reason for the run}
shift
# Runs of the same code differ by less than this.
readonly tolerance=0.03
machine=$(uname -m)
readonly machine
status=0
while read -r site; do
  name=$(basename "$site")
  report=$("$FLEETBENCH" score "$SITES/$site.toml" --jobs 4 --why "$reason" "$@" </dev/null)
  grep -E '^(GATE|score )' <<<"$report" | sed "s/^/$name: /"
  grep -q '^GATE passed' <<<"$report" || status=1
  # Standard days are named kind-number; the day drawn just now is not compared.
  awk -v machine="$machine" -v site="$name" -v tolerance="$tolerance" '
    NR == FNR { if ($1 == machine) landed[$2, $3] = $4; next }
    $1 ~ /^(quiet|trouble|scale)-[0-9]+$/ && $4 ~ /^[0-9.]+$/ {
      known = (site, $1) in landed
      fell = known && $4 < landed[site, $1] - tolerance
      print machine, site, $1, $4, known ? landed[site, $1] : "-", fell ? "FELL" : ""
      failed = failed || fell
    }
    END { exit failed }' docs/scores.tsv <(echo "$report") || status=1
done <"${LIST:-tools/sites_in_force.txt}"
exit $status
