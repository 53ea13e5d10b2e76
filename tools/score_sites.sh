#!/usr/bin/env bash
# Plays the standard days of the milestone's sites and prints each day's worth
# beside the last landed one:
#
#   FLEETBENCH=PROGRAM SITES=FOLDER tools/score_sites.sh REASON [--quick]
#
# FOLDER holds the users' site files. The landed figures are in
# docs/scores.tsv; a line with "FELL" is lower than them by more than repeats
# differ, and makes the script fail, as does a site that does not pass the gate.
set -eu
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?the users\' bench}" "${SITES:?the folder of the site files}"
reason=${1:?the reason for the run}
shift
# Runs of the same code differ by less than this.
readonly tolerance=0.03
readonly sites="further/koirapontto-prod further-grown/koirapontto-prod-grown
  large/snorfiks-gw-large grown/snorfiks-gw-grown grown/kds-gateway-grown"
status=0
for site in $sites; do
  name=$(basename "$site")
  report=$("$FLEETBENCH" score "$SITES/$site.toml" --jobs 3 --why "$reason" "$@")
  grep -E '^(GATE|score )' <<<"$report" | sed "s/^/$name: /"
  grep -q '^GATE passed' <<<"$report" || status=1
  # Standard days are named kind-number; the day drawn just now is not compared.
  awk -v site="$name" -v tolerance="$tolerance" '
    NR == FNR { landed[$1, $2] = $3; next }
    $1 ~ /^(quiet|trouble|scale)-[0-9]+$/ && $4 ~ /^[0-9.]+$/ {
      known = (site, $1) in landed
      fell = known && $4 < landed[site, $1] - tolerance
      print site, $1, $4, known ? landed[site, $1] : "-", fell ? "FELL" : ""
      failed = failed || fell
    }
    END { exit failed }' docs/scores.tsv <(echo "$report") || status=1
done
exit $status
