#!/usr/bin/env bash
# Measures what an idle host uses by the number of members, and what a configuration costs by its numbers of client
# blocks, customers and targets. Everything runs on loopback. MEMBERS, LINKS, SAMPLE (seconds), BLOCKS, CUSTOMERS,
# TARGETS, PROBED, RESTARTED and CENTRES may be set; an empty list leaves a part out.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

members=${MEMBERS-6 12 24 48}
links=${LINKS-0 2}
sample=${SAMPLE:-15}
blocks=${BLOCKS-10000 100000 1000000}
customers=${CUSTOMERS-10 500 1000 1500} # A file of 2,000 customers with a key each exceeds 256 KB.
targets=${TARGETS-10 200 400 800}
probed=${PROBED-0 8 16 32}
restarted=${RESTARTED-100000}
centres=${CENTRES:-6}
export MONSOONHUB_SECRET=measurement-secret-0001
ticks=$(getconf CLK_TCK)
steering=$work/steering
mkdir "$steering"

# region DATA-CENTRE prints the region of a data centre: two data centres in each.
region() { printf 'region-%d' $((($1 + 1) / 2)); }

# fresh_store starts an empty store.
fresh_store() {
  start store "$work/mhstore"
  store=$(field store address)
  # The base record belongs to the store before.
  rm -f "$steering/.steering-base.yaml"
}

# write_fleet SLOTS writes the fleet file with slots in each data centre.
write_fleet() {
  local d
  printf 'kind: fleet\ndata-centres:\n' >"$steering/fleet.yaml"
  for d in $(seq "$centres"); do
    printf '  - {name: dc-%d, region: %s, slots: %d}\n' "$d" "$(region "$d")" "$1" >>"$steering/fleet.yaml"
  done
}

write_customers() {
  awk -v n="$1" 'BEGIN {
    print "kind: customers\ncustomers:"
    for (i = 1; i <= n; i++)
      printf "  - {name: c-%d, rate: 100, burst: 50, keys: [{id: c-%d-1, digest: %064x}]}\n", i, i, i
  }' >"$steering/customers.yaml"
}

# write_service TARGETS writes a service whose targets, all in dc-6, have no process. No host of that data centre probes
# them in the second part.
write_service() {
  awk -v n="$1" 'BEGIN {
    print "kind: service\nname: reservas\nroutes:\n  - {prefix: /}\ntargets:"
    for (i = 0; i < n; i++)
      printf "  - {id: r-%d, data-centre: dc-6, address: \"127.90.%d.%d:9\", slots: 9}\n", i, int(i / 250), i % 250 + 1
    if (n == 0) print "  []"
  }' >"$steering/service.yaml"
}

write_blocks() {
  awk -v n="$1" 'BEGIN {
    print "kind: blocks\nblocks: |"
    for (i = 0; i < n; i++)
      printf "  %d.%d.%d.0/24 dc-%d\n", 16 + int(i / 65536), int(i / 256) % 256, i % 256, i % 6 + 1
  }' >"$steering/blocks.yaml"
}

publish() { "$work/monsoonhub" publish "$steering" --store "$store" >"$work/publish.out"; }

# sum NAME prints the sum of a metric over all hosts.
sum() {
  local a
  for a in "${admins[@]}"; do metric "$a" "$1"; done | awk '{ s += $1 } END { print s }'
}

# counters prints one line for each host: CPU ticks, RSS in kB, peer bytes both ways, store calls.
counters() {
  local i
  for i in "${!hosts[@]}"; do
    printf '%s %s %s ' "$(date +%s%N)" "$(cpu "${hosts[$i]}")" "$(memory "${hosts[$i]}" VmRSS)"
    curl -sf "http://${admins[$i]}/metrics" | awk '
      { v[$1] = $2 }
      END { printf "%.0f %.0f %d\n", v["monsoonhub_peer_bytes_sent"], v["monsoonhub_peer_bytes_received"],
        v["monsoonhub_store_call_microseconds_count"] }'
  done
}

# settled N waits until N hosts know each other and each holds a slot.
settled() {
  local i
  for i in $(seq 120); do
    if [ "$(sum peer_members)" = $(($1 * ($1 - 1))) ] && [ "$(sum slots_held)" = "$1" ]; then return; fi
    sleep 1
  done
  printf '%s hosts have not settled: members %s, slots %s\n' "$1" "$(sum peer_members)" "$(sum slots_held)" >&2
  return 1
}

# start_host N LINKS starts host N, with up to three earlier hosts as peers.
start_host() {
  local d=$((($1 - 1) % centres + 1))
  settings "host-$1" "dc-$d" "$(region "$d")" "$store" "$2" ${peers[@]+"${peers[@]}"}
  start "host-$1" "$work/monsoonhub" host --settings "$work/host-$1.yaml"
  hosts[$1]=$pid
  admins[$1]=$(field "host-$1" admin-listen)
  if [ ${#peers[@]} -lt 3 ]; then peers+=("$(field "host-$1" peer-listen)"); fi
}

# raise N LINKS BLOCKS starts a store and N hosts and waits until they have settled.
raise() {
  local i
  fresh_store
  storePID=$pid
  write_fleet $(($1 / centres))
  write_customers 8
  write_service 0
  write_blocks "$3"
  publish
  hosts=()
  admins=()
  peers=()
  for i in $(seq "$1"); do start_host "$i" "$2"; done
  settled "$1"
}

# fleet N LINKS runs N hosts and prints one row of means for each host and second.
fleet() {
  raise "$1" "$2" 60
  sleep 8 # Links that were opened twice are closed by then.
  counters >"$work/before"
  sleep "$sample"
  counters >"$work/after"
  paste "$work/before" "$work/after" | awk -v n="$1" -v links="$2" -v hz="$ticks" '
    { t += ($7 - $1) / 1e9; c += $8 - $2; r += $9; o += $10 - $4; i += $11 - $5; s += $12 - $6 }
    END { printf "%d %d %.3f %.1f %.0f %.0f %.3f\n", links, n, 1000 * c / hz / t, r / n / 1024, o / t, i / t, s / t }' |
    tee -a "$work/rows"
  stop "${hosts[@]}"
  stop "$storePID"
}

# probes N runs one host whose data centre has N targets that answer, and prints its CPU time for each second.
probes() {
  local i list=()
  fresh_store
  storePID=$pid
  write_fleet 1
  write_customers 8
  write_blocks 60
  printf 'kind: service\nname: reservas\nroutes:\n  - {prefix: /}\ntargets:\n' >"$steering/service.yaml"
  for i in $(seq "$1"); do
    start "target-$i" "$work/mhtarget"
    list+=("$pid")
    printf '  - {id: r-%d, data-centre: dc-1, address: "%s", slots: 9}\n' "$i" "$(field "target-$i" address)" \
      >>"$steering/service.yaml"
  done
  if [ "$1" = 0 ]; then printf '  []\n' >>"$steering/service.yaml"; fi
  publish
  hosts=()
  admins=()
  peers=()
  start_host 1 0
  ready "${admins[1]}"
  sleep 5
  local polls
  polls=$(metric "${admins[1]}" probe_polls)
  counters >"$work/before"
  sleep "$sample"
  counters >"$work/after"
  polls=$(($(metric "${admins[1]}" probe_polls) - polls))
  paste "$work/before" "$work/after" | awk -v n="$1" -v p="$polls" -v hz="$ticks" '
    { t = ($7 - $1) / 1e9; printf "%d %.3f %.1f\n", n, 1000 * ($8 - $2) / hz / t, p / t }' | tee -a "$work/probes"
  stop "${hosts[@]}" ${list[@]+"${list[@]}"}
  stop "$storePID"
}

# totals NAME HOST... prints what hosts have used since their start.
totals() {
  local name=$1 i
  shift
  for i in "$@"; do
    curl -sf "http://${admins[$i]}/metrics" | awk '
      { v[$1] = $2 }
      END { printf "%d %d %d %.0f\n", v["monsoonhub_store_call_microseconds_count"], v["monsoonhub_parts_from_store"],
        v["monsoonhub_parts_from_peers"], v["monsoonhub_peer_bytes_received"] }'
  done | awk -v name="$name" '
    { s += $1; p += $2; q += $3; b += $4 }
    END { printf "%s: %d hosts, for each: store calls %.1f, parts from the store %.1f, parts from peers %.1f, " \
      "bytes received from peers %.0f\n", name, NR, s / NR, p / NR, q / NR, b / NR }'
}

# restart BLOCKS starts 12 hosts, publishes a change, then kills all hosts of one data centre and starts them again.
restart() {
  local i began
  raise 12 0 "$1"
  totals "first start of the fleet, $1 blocks, until all slots are held" $(seq 12)
  write_customers 9
  publish
  sleep 3
  totals "the same 3 s after a publication that changes one part" $(seq 12)
  kill -KILL "${hosts[6]}" "${hosts[12]}"
  stop "${hosts[6]}" "${hosts[12]}"
  began=$(date +%s%N)
  peers=("$(field host-1 peer-listen)" "$(field host-2 peer-listen)" "$(field host-3 peer-listen)")
  start_host 6 0
  start_host 12 0
  for i in 6 12; do ready "${admins[$i]}"; done
  totals "restart of dc-6 after $((($(date +%s%N) - began) / 1000000)) ms, configuration in force" 6 12
  while [ "$(sum slots_held)" != 12 ]; do sleep 0.2; done
  totals "restart of dc-6 after $((($(date +%s%N) - began) / 1000000)) ms, slots held" 6 12
  stop "${hosts[@]}"
  stop "$storePID"
}

# slope COLUMN X-COLUMN FILE prints the least-squares slope of a column.
slope() {
  awk -v y="$1" -v x="$2" '
    { n++; a += $x; b += $y; ab += $x * $y; aa += $x * $x }
    END { if (n > 1 && n * aa != a * a) printf "%.6g", (n * ab - a * b) / (n * aa - a * a); else printf "-" }' "$3"
}

# growth KIND N... publishes a configuration of each size to a running host, and prints the time until it is in force
# and the memory.
growth() {
  local kind=$1 n name began
  shift
  for n in "$@"; do
    fresh_store
    local storePID=$pid
    write_fleet 1
    write_customers 8
    write_service 0
    write_blocks 60
    publish
    name=$kind-$n
    settings "$name" dc-1 region-1 "$store" 0
    start "$name" env GODEBUG=gctrace=1 "$work/monsoonhub" host --settings "$work/$name.yaml"
    local hostPID=$pid admin
    admin=$(field "$name" admin-listen)
    ready "$admin"
    "write_$kind" "$n"
    publish
    began=$(date +%s%N)
    local before
    before=$(cpu "$hostPID")
    while [ "$(metric "$admin" config_version)" != 2 ]; do sleep 0.02; done
    if [ "$kind" = blocks ]; then
      while [ "$(metric "$admin" block_count)" != "$n" ]; do sleep 0.02; done
    fi
    local took=$((($(date +%s%N) - began) / 1000000))
    local used=$((($(cpu "$hostPID") - before) * 1000 / ticks))
    local peak
    peak=$(memory "$hostPID" VmHWM)
    sleep 2
    # A host that has not collected yet has no figure for the live heap.
    local heap
    heap=$(sed -n 's/^gc .*->\([0-9]*\) MB, .*/\1/p' "$work/$name.err" | tail -n 1)
    printf '%s %d %d %d %s %d %d\n' "$kind" "$n" "$took" "$used" "${heap:--}" \
      $(($(memory "$hostPID" VmRSS) / 1024)) $((peak / 1024)) | tee -a "$work/growth-$kind"
    stop "$hostPID"
    stop "$storePID"
  done
  printf 'slope for each of %s: in force %s ms, CPU %s ms, RSS %s MB\n' "$kind" \
    "$(slope 3 2 "$work/growth-$kind")" "$(slope 4 2 "$work/growth-$kind")" "$(slope 6 2 "$work/growth-$kind")"
}

build
printf '== load of the machine: %s, cores: %s, commit: %s\n' "$(cut -d' ' -f1-3 /proc/loadavg)" "$(nproc)" \
  "$(git rev-parse --short HEAD)"
if [ -n "$members" ]; then
  printf '== idle hosts in %d data centres, means over all hosts in %s s\n' "$centres" "$sample"
  printf 'links-per-data-centre hosts cpu-ms/s rss-MB sent-B/s received-B/s store-calls/s\n'
  for l in $links; do
    : >"$work/rows"
    for n in $members; do fleet "$n" "$l"; done
    printf 'slope for each member, links %s: cpu %s ms/s, rss %s MB, sent %s B/s, received %s B/s, store calls %s /s\n' \
      "$l" "$(slope 3 2 "$work/rows")" "$(slope 4 2 "$work/rows")" "$(slope 5 2 "$work/rows")" \
      "$(slope 6 2 "$work/rows")" "$(slope 7 2 "$work/rows")"
  done
fi
printf '== one host by the size of the configuration\n'
printf 'kind number in-force-ms cpu-ms live-heap-MB rss-MB peak-rss-MB\n'
# shellcheck disable=SC2086 # The lists are split on purpose.
for kind in blocks customers service; do
  case $kind in
    blocks) list=$blocks ;;
    customers) list=$customers ;;
    service) list=$targets ;;
  esac
  if [ -n "$list" ]; then growth "$kind" $list; fi
done
if [ -n "$probed" ]; then
  printf '== one host by the number of targets that it probes\ntargets cpu-ms/s polls/s\n'
  for n in $probed; do probes "$n"; done
  printf 'slope for each target: cpu %s ms/s\n' "$(slope 2 1 "$work/probes")"
fi
if [ -n "$restarted" ]; then
  printf '== restarts, 12 hosts in %d data centres\n' "$centres"
  for n in $restarted; do restart "$n"; done
fi
