# Functions for scripts that run hosts and stand-ins as processes. Sourced, not run.

work=$(mktemp -d)
started=()

# stop_all ends the processes that this script started, each by its id, and removes the work directory.
stop_all() {
  local pid
  for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

# build puts the binaries into the work directory, without the race detector.
build() {
  go build -o "$work/" ./cmd/monsoonhub ./cmd/mhstore ./cmd/mhtarget ./cmd/mhload
}

# start NAME COMMAND... runs a process that prints one JSON line with its addresses to NAME.out, and waits for the line.
# The process id is in the variable pid.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pid=$!
  started+=("$pid")
  local i
  for i in $(seq 300); do
    grep -qs '^{' "$work/$name.out" && return
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
  done
  printf '%s printed no address:\n' "$name" >&2
  tail -n 5 "$work/$name.err" >&2
  return 1
}

# stop PID... ends processes that start has started, and waits for them.
stop() {
  local pid i
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "$@"; do
    wait "$pid" 2>/dev/null || true
    for i in "${!started[@]}"; do
      if [ "${started[$i]}" = "$pid" ]; then unset "started[$i]"; fi
    done
  done
}

# field NAME FIELD prints a field of the JSON line of a process.
field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1.out"; }

# metric ADMIN NAME prints a metric of a host, 0 if it has none.
metric() { curl -sf "http://$1/metrics" | awk -v n="monsoonhub_$2" '$1 == n { v = $2 } END { print v + 0 }'; }

# cpu PID prints the CPU time of a process in ticks of the kernel, user and system.
cpu() { sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'; }

# memory PID FIELD prints a field of the process status in kB, such as VmRSS or VmHWM.
memory() { awk -v n="$2:" '$1 == n { print $2 }' "/proc/$1/status"; }

# settings NAME DATA-CENTRE REGION STORE LINKS PEER... writes the settings file of a host.
settings() {
  cat >"$work/$1.yaml" <<EOF
host-id: $1
data-centre: $2
region: $3
listen: 127.0.0.1:0
peer-listen: 127.0.0.1:0
admin-listen: 127.0.0.1:0
store: $4
links-per-data-centre: $5
fleet-secret-env: MONSOONHUB_SECRET
shutdown-limit: 1s
lookup-ttl: 100ms
log-level: warn
EOF
  local file=$work/$1.yaml
  shift 5
  if [ $# -gt 0 ]; then
    printf 'peers:\n' >>"$file"
    printf '  - %s\n' "$@" >>"$file"
  fi
}

# ready ADMIN waits until a host has a configuration in force.
ready() {
  local i
  for i in $(seq 600); do
    curl -sf "http://$1/healthz" >/dev/null && return
    sleep 0.1
  done
  printf 'no configuration in force at %s\n' "$1" >&2
  return 1
}
