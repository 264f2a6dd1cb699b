# Shell functions that start a small fleet of processes on loopback. Sourced by
# demo/run and the scripts of bench; needs $bin, the directory of the binaries.

work=$(mktemp -d)
platform=127.0.0.1:${BASE_PORT:-17000}
port=$((${BASE_PORT:-17000} + 100))
# The platform stand-in responds immediately, so the list of instances lags
# little and the bounds can be short. An empty mapping, QUOTA={}, keeps the
# defaults.
quota='{listLag: 200ms, isolateAfter: 2s}'
quota=${QUOTA:-$quota}
pids=()
entries=()
operators=()
upstreams=()
node_pids=()

stop_fleet() {
  local status=$?
  [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ "$status" -eq 0 ] || tail -n 5 "$work"/*.log >&2 || true
  rm -rf "$work"
  exit "$status"
}
trap stop_fleet EXIT

digest() { printf '%s' "$1" | "$bin/toucancove" keys digest; }

start() { # log name, command...
  local log=$1
  shift
  "$@" >"$work/$log.log" 2>&1 &
  pids+=($!)
}

start_platform() {
  mkdir -p "$work/values/services" "$work/values/instances" "$work/values/keys"
  start platform "$bin/standin" platform --listen "$platform"
}

service() { # name: starts its list of instances
  printf 'service: %s\ninstances:\n' "$1" >"$work/values/instances/$1.yaml"
}

instance() { # service, id, zone, upstream slots
  local service=$1 id=$2 zone=$3 slots=$4 p=$port
  port=$((port + 10))
  cat >>"$work/values/instances/$service.yaml" <<EOF
  - {id: $id, zone: $zone, peer: "127.0.0.1:$((p + 2))", control: "127.0.0.1:$((p + 3))"}
EOF
  cat >"$work/$id.yaml" <<EOF
instance: $id
zone: $zone
service: $service
listen:
  public: 127.0.0.1:$p
  loopback: 127.0.0.1:$((p + 1))
  peer: 127.0.0.1:$((p + 2))
  control: 127.0.0.1:$((p + 3))
  operator: 127.0.0.1:$((p + 4))
upstream:
  address: 127.0.0.1:$((p + 5))
  healthPath: /health
  loadPath: /load
platform:
  address: $platform
secrets: [000102030405060708090a0b0c0d0e0f]
shutdown: {notice: 1s, timeout: 10s}
quota: $quota
EOF
  entries+=("127.0.0.1:$p")
  operators+=("127.0.0.1:$((p + 4))")
  upstreams+=("127.0.0.1:$((p + 5))")
  [ "${UPSTREAM:-yes}" = no ] || start "up-$id" "$bin/standin" upstream --listen "127.0.0.1:$((p + 5))" --slots "$slots" --loopback "127.0.0.1:$((p + 1))"
  start "$id" "$bin/toucancove" run --settings "$work/$id.yaml"
  node_pids+=("${pids[-1]}")
}

publish() {
  for _ in $(seq 100); do
    "$bin/standin" publish --platform "$platform" "$work/values" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "the platform stand-in at $platform did not accept the values in 100 attempts" >&2
  return 1
}

wait_ready() {
  for operator in "${operators[@]}"; do
    local ready=no
    for _ in $(seq 150); do
      if "$bin/toucancove" status --operator "$operator" 2>/dev/null | grep -q '"ready": true'; then
        ready=yes
        break
      fi
      sleep 0.1
    done
    [ "$ready" = yes ] || { echo "node at $operator is not ready after 150 checks" >&2; return 1; }
  done
}
