#!/usr/bin/env bash
# Measures the latency that a host adds to a direct call of the same target, and look-ups with a million client blocks
# on one core. Everything runs on loopback. SECONDS_EACH, RATE and SEED may be set.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

seconds=${SECONDS_EACH:-20}
rate=${RATE:-500}
seed=${SEED:-1}
export MONSOONHUB_SECRET=measurement-secret-0001
ticks=$(getconf CLK_TCK)

build
start store "$work/mhstore"
store=$(field store address)
start target "$work/mhtarget" --service-time 0 --slots 64 --seed "$seed"
target=$(field target address)

steering=$work/steering
mkdir "$steering"
cat >"$steering/fleet.yaml" <<EOF
kind: fleet
data-centres:
  - name: golfo-1
    region: golfo
    slots: 1
EOF
cat >"$steering/customers.yaml" <<EOF
kind: customers
customers:
  - name: alfa
    rate: 100000
    burst: 100000
    keys:
      - id: alfa-1
        digest: $(printf measurement-key | sha256sum | cut -d' ' -f1)
EOF
cat >"$steering/reservas.yaml" <<EOF
kind: service
name: reservas
timeout: 2s
ramp: 0s
routes:
  - prefix: /reservas
targets:
  - id: reservas-1
    data-centre: golfo-1
    address: $target
    slots: 64
EOF
printf 'kind: blocks\nblocks: |\n  16.0.0.0/24 golfo-1\n' >"$steering/blocks.yaml"

publish() { "$work/monsoonhub" publish "$steering" --store "$store" | sed 's/^/  /'; }

# host NAME COMMAND... starts a host and waits until it has a configuration and its slot.
host() {
  local name=$1
  shift
  settings "$name" golfo-1 golfo "$store" 0
  start "$name" "$@" "$work/monsoonhub" host --settings "$work/$name.yaml"
  ready "$(field "$name" admin-listen)"
  sleep 4 # The slot is taken and its parts have filled.
}

printf '== load of the machine: %s, cores: %s, commit: %s\n' "$(cut -d' ' -f1-3 /proc/loadavg)" "$(nproc)" \
  "$(git rev-parse --short HEAD)"
printf '== small configuration\n'
publish
host first
first=$pid
address=$(field first listen)
for method in GET POST; do
  printf '== %s, open loop of %s/s to each, %s s: host against the target itself\n' "$method" "$rate" "$seconds"
  "$work/mhload" request "$address" --compare "$target" --service reservas --path /reservas/x --method "$method" \
    --key measurement-key --rate "$rate" --duration "${seconds}s" --seed "$seed"
done
printf '== GET, closed loop of 2 connections to each, %s s\n' "$seconds"
"$work/mhload" request "$address" --compare "$target" --service reservas --path /reservas/x --key measurement-key \
  --connections 2 --rate 0 --duration "${seconds}s" --seed "$seed"
small=$(memory "$first" VmRSS)
stop "$first"

printf '== a million client blocks\n'
awk 'BEGIN {
  print "kind: blocks\nblocks: |"
  for (i = 0; i < 1000000; i++) printf "  %d.%d.%d.0/24 golfo-1\n", 16 + int(i / 65536), int(i / 256) % 256, i % 256
}' >"$steering/blocks.yaml"
publish
host second env GOMAXPROCS=1 GODEBUG=gctrace=1
second=$pid
address=$(field second listen)
for loop in 0 10000; do
  printf '== look-ups, GOMAXPROCS=1, 16 connections, rate %s/s (0: closed loop), %s s\n' "$loop" "$seconds"
  before=$(cpu "$second")
  "$work/mhload" lookup "$address" --service reservas --clients 16.0.0.0/5 --connections 16 --rate "$loop" \
    --duration "${seconds}s" --warm-up 0s --seed "$seed" --output json >"$work/lookup.json"
  after=$(cpu "$second")
  awk -v ticks="$((after - before))" -v hz="$ticks" '
    { gsub(/[",]/, "") }
    /answered:|failed:|rate-per-s:|p50-us:|p99-us:/ { printf "%s %s  ", $1, $2 }
    $1 == "answered:" { n = $2 }
    END { printf "\nhost CPU %.2f s, %.0f answers per second of host CPU, %.1f us each\n", ticks / hz, n * hz / ticks,
      ticks / hz * 1e6 / n }' "$work/lookup.json"
done
printf 'live heap at the last collection: %s MB; RSS %s kB, peak %s kB (small configuration: RSS %s kB)\n' \
  "$(sed -n 's/^gc .*->\([0-9]*\) MB, .*/\1/p' "$work/second.err" | tail -n 1)" \
  "$(memory "$second" VmRSS)" "$(memory "$second" VmHWM)" "$small"
