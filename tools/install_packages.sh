#!/usr/bin/env bash
# Installs those Debian packages listed in .ci/packages.txt that are missing.
set -eu
cd "$(dirname "$0")/.."
export DEBIAN_FRONTEND=noninteractive
missing=$(comm -13 \
  <(dpkg-query -W -f='${Package} ${Status}\n' 2>/dev/null | awk '/install ok installed/{print $1}' | sort -u) \
  <(sort .ci/packages.txt))
[ -z "$missing" ] && exit 0
apt-get update
# shellcheck disable=SC2086
apt-get install -y --no-install-recommends $missing
