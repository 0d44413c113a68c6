# Shell functions to start and stop a small cluster of processes on loopback addresses.
# The sourcing script sets `root` (repository), `bin` (build folder) and `dir` (scratch folder).

base_port="${LOVAGEBEAM_BASE_PORT:-21000}"
declare -A pids=()

callers_port() { echo $((base_port + $1)); }
peers_port() { echo $((base_port + 100 + $1)); }

# Writes the settings files of `hosts` hosts. The first `voters` of them are voters with a data folder.
write_settings() {
  local hosts="$1" voters="$2" i members=""
  head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/cluster-secret"
  head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/operator-credential"
  for i in $(seq 1 "$hosts"); do
    [ -z "$members" ] || members+=","
    members+="{\"node_id\":\"n$i\",\"failure_domain\":\"d$(((i - 1) % 4 + 1))\","
    [ "$i" -gt "$voters" ] || members+="\"voter\":true,"
    members+="\"peers\":{\"address\":\"127.0.0.1\",\"port\":$(peers_port "$i")},"
    members+="\"callers\":{\"address\":\"127.0.0.1\",\"port\":$(callers_port "$i")}}"
  done
  for i in $(seq 1 "$hosts"); do
    {
      echo "{\"node_id\":\"n$i\","
      [ "$i" -gt "$voters" ] || echo "\"data_folder\":\"$dir/data-n$i\","
      echo "\"cluster_secret_file\":\"$dir/cluster-secret\","
      echo "\"operator_credential_file\":\"$dir/operator-credential\","
      echo "\"members\":[$members]}"
    } >"$dir/n$i.json"
    [ "$i" -gt "$voters" ] || "$bin/lovagebeamd" --settings "$dir/n$i.json" --init-group >/dev/null
  done
}

# Starts a program in the background; NAME is its key in `pids`, and its output goes to NAME.log.
start() {
  local name="$1"
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

start_host() { start "n$1" "$bin/lovagebeamd" --settings "$dir/n$1.json"; }

# Stops every process that `start` started, by process id. SIGCONT comes first, since a suspended process
# handles SIGTERM only after it is resumed.
stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}

ctl() { "$bin/lovagebeamctl" --host "127.0.0.1:$(callers_port 1)" --credential-file "$dir/operator-credential" "$@"; }

# Retries a command until it succeeds. Fails after 30 s.
wait_for() {
  local what="$1" i
  shift
  for i in $(seq 1 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "FAILED: timed out after 30 s while waiting for $what"
  return 1
}

is_ready() { curl -sf --max-time 2 "http://127.0.0.1:$(callers_port "$1")/readyz"; }

# Whether host $1 reports the value $3 for the metric $2. The answer is read whole before the search: with
# pipefail, a "curl | grep -q" fails when grep exits before curl has written everything.
has_metric() {
  local metrics
  metrics="$(curl -s --max-time 2 "http://127.0.0.1:$(callers_port "$1")/metrics")" || return 1
  grep -q "^lovagebeam_$2 $3$" <<<"$metrics"
}

# Prints the number of the first of $1 hosts that reports to be the leader. Fails if none does.
leader_of() {
  local i
  for i in $(seq 1 "$1"); do
    if has_metric "$i" is_leader 1; then
      echo "$i"
      return
    fi
  done
  return 1
}

entry_hosts() {
  local i list=""
  for i in $(seq 1 "$1"); do list+="${list:+,}127.0.0.1:$(callers_port "$i")"; done
  echo "$list"
}

# Prints a string field of the flat JSON object on standard input.
json_field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"; }
