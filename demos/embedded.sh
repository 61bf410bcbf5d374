#!/usr/bin/env bash
# Builds and runs one daemon without a platform, in front of two model engines
# and a booking application, until Ctrl-C. Uses ports 8080 to 8082 and 8091 to 8093.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --workspace --bins
programs="${CARGO_TARGET_DIR:-target}/debug"

# Stops the programs that this script started and that still run.
finish() {
  trap - EXIT INT TERM
  for child in $(jobs -pr); do
    kill -TERM "$child" 2>/dev/null || true
  done
  wait
}
trap finish EXIT
trap 'exit 0' INT TERM

"$programs/engine" --listen 127.0.0.1:8091 --token-us 30000 &
"$programs/engine" --listen 127.0.0.1:8092 --token-us 30000 &
"$programs/plain" --listen 127.0.0.1:8093 &
"$programs/poplarvaled" --settings demos/embedded/settings.json &

for _ in $(seq 100); do
  curl --silent --fail --output /dev/null http://127.0.0.1:8080/ready && break
  sleep 0.1
done
if ! curl --silent --fail --output /dev/null http://127.0.0.1:8080/ready; then
  echo "the daemon does not serve; are ports 8080 to 8082 and 8091 to 8093 free?" >&2
  exit 1
fi

cat <<'TEXT'

The daemon serves at 127.0.0.1:8080; Ctrl-C ends it. Try in another terminal:

curl -N http://127.0.0.1:8080/v1/chat/completions -H 'Authorization: Bearer surf-demo' -H 'Content-Type: application/json' -d '{"model":"surf-lm","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Any waves in Hanko?"}]}'

TEXT
# Ends as soon as any of the programs exits, so that a partly running site is noticed.
wait -n
echo "one of the programs ended" >&2
exit 1
