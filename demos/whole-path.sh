#!/usr/bin/env bash
# Runs the whole request path as processes: a key-value service, two model engines, a booking
# application and three daemons in three availability zones. Ends with a message
# and a non-zero exit code if any answer is not as expected.
set -euo pipefail
cd "$(dirname "$0")/.."

TOKENS=120
KEY=surf-demo

cargo build --quiet --workspace --bins
programs="${CARGO_TARGET_DIR:-$PWD/target}/debug"
folder=$(mktemp -d)

# Kills the programs that this script started and that still run. It asks the shell for them
# instead of keeping a list of ids, since the id of a program that has exited may belong to
# another process by now.
finish() {
  trap - EXIT
  for child in $(jobs -pr); do
    kill -KILL "$child" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 130' INT TERM

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

step() {
  echo "== $*"
}

# Starts a program under a name and waits for its first line of output.
start() {
  local name=$1
  shift
  "$@" > "$folder/$name.out" 2> "$folder/$name.log" &
  echo $! > "$folder/$name.pid"
  for _ in $(seq 400); do
    grep -qs '^listening ' "$folder/$name.out" && return
    sleep 0.05
  done
  cat "$folder/$name.log" >&2
  fail "$name did not start"
}

# Prints the address that follows a word in the first line of a program's output.
address() {
  head -n 1 "$folder/$1.out" | tr ' ' '\n' | grep -A 1 "^$2\$" | tail -n 1
}

# Prints a value from a JSON file: `value FILE EXPRESSION`, a Python expression over `it`.
value() {
  python3 -c 'import json, sys
it = json.load(open(sys.argv[1]))
print(json.dumps(eval(sys.argv[2])))' "$folder/$1" "$2"
}

equal() {
  [ "$2" = "$3" ] || fail "$1: expected $3, found $2"
}

# Sends a caller's request: `call DAEMON FILE PATH [curl arguments]`; prints the status code.
call() {
  local daemon=$1 file=$2 path=$3
  shift 3
  curl --silent --max-time 20 --output "$folder/$file" --dump-header "$folder/$file.head" \
    --write-out '%{http_code}' --header "Authorization: Bearer $KEY" "$@" \
    "http://$(address "$daemon" callers)$path"
}

operate() {
  local daemon=$1
  shift
  "$programs/poplarvale" --at "$(address "$daemon" operators)" \
    --token-file "$folder/operators.token" "$@"
}

# Prints the last event id and the text of a stream: `read_stream FILE FIRST whole|part`. Fails
# if tokens are missing or duplicated, or if a whole stream has no end mark.
read_stream() {
  python3 - "$folder/$1" "$2" "$3" <<'PYTHON'
import json, sys
file, first, whole = sys.argv[1], int(sys.argv[2]), sys.argv[3] == "whole"
text, ids, done = [], [], False
for block in open(file).read().split("\n\n")[:-1]:
    lines = dict(line.split(": ", 1) for line in block.splitlines() if ": " in line)
    if lines.get("data") == "[DONE]":
        done = True
    elif "id" in lines:
        ids.append(lines["id"])
        text.append(json.loads(lines["data"])["choices"][0]["delta"].get("content", ""))
places = [int(id.rsplit("-", 1)[1]) for id in ids]
if places != list(range(first, first + len(places))):
    sys.exit(f"tokens are missing or doubled: {places}")
words = [word.rsplit("-", 1)[1] for word in "".join(text).split()]
if words != [str(place) for place in places]:
    sys.exit(f"words are missing or doubled: {words}")
if whole and not done:
    sys.exit("the stream has no end mark")
print(ids[-1] if ids else "")
print("".join(text))
PYTHON
}

settings() {
  local name=$1 zone=$2 seeds=$3
  cat > "$folder/$name.json" <<JSON
{
  "zone": "$zone", "region": "fi-south",
  "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
  "seeds": [$seeds],
  "credentials": { "operators": "operators.token", "peers": "peers.token" },
  "platform": { "store": "$(address store listening)" },
  "services": [
    {
      "id": "surf-lm", "kind": "model", "models": ["surf-lm"], "version": "v1",
      "endpoints": [
        { "id": "engine-1", "zone": "hanko", "address": "$(address engine-1 listening)" },
        { "id": "engine-2", "zone": "porkkala", "address": "$(address engine-2 listening)" },
        { "id": "engine-new", "zone": "hanko", "version": "v2",
          "address": "$(address engine-new listening)" }
      ]
    },
    {
      "id": "bookings", "kind": "plain",
      "routes": [
        { "method": "POST", "path": "/bookings", "deadline_ms": 5000 },
        { "method": "GET", "path": "/bookings/*", "repeatable": true }
      ],
      "endpoints": [
        { "id": "booking-1", "zone": "hanko", "address": "$(address bookings listening)" }
      ]
    }
  ]
}
JSON
}

start_all() {
  step "starting a key-value service, two engines, a booking application and three daemons"
  echo demo-operator > "$folder/operators.token"
  echo demo-peers > "$folder/peers.token"
  start store "$programs/store" --listen 127.0.0.1:0
  start engine-1 "$programs/engine" --listen 127.0.0.1:0 --token-us 10000
  start engine-2 "$programs/engine" --listen 127.0.0.1:0 --token-us 10000
  start engine-new "$programs/engine" --listen 127.0.0.1:0 --version v2
  start bookings "$programs/plain" --listen 127.0.0.1:0
  settings daemon-1 hanko ""
  start daemon-1 "$programs/poplarvaled" --settings "$folder/daemon-1.json"
  local seeds
  seeds="\"$(address daemon-1 peers)\""
  settings daemon-2 porkkala "$seeds"
  start daemon-2 "$programs/poplarvaled" --settings "$folder/daemon-2.json"
  seeds="$seeds, \"$(address daemon-2 peers)\""
  settings daemon-3 espoo "$seeds"
  start daemon-3 "$programs/poplarvaled" --settings "$folder/daemon-3.json"
}

# Puts the lists of a file; retries for at most 20 seconds until the daemon accepts them.
put_lists() {
  local daemon=$1 file=$2
  for _ in $(seq 100); do
    if operate "$daemon" --json lists put "$folder/$file" > "$folder/put.json"; then
      return
    fi
    sleep 0.2
  done
  cat "$folder/put.json" >&2
  fail "the lists were not accepted"
}

# Waits until all three daemons have applied a revision, at most 20 seconds for each.
in_force() {
  local revision=$1
  for daemon in daemon-1 daemon-2 daemon-3; do
    local reached=0
    for _ in $(seq 100); do
      curl --silent --max-time 5 --output "$folder/spread.json" \
        --header "Authorization: Bearer demo-operator" \
        "http://$(address "$daemon" operators)/lists/spread/$revision"
      reached=$(value spread.json 'it.get("reached", 0)')
      [ "$reached" = 3 ] && break
      sleep 0.2
    done
    equal "daemons under revision $revision as $daemon sees it" "$reached" 3
  done
}

put_first_lists() {
  step "putting the two lists"
  python3 - demos/embedded "$folder/first.json" <<'PYTHON'
import json, sys
read = lambda name: json.load(open(f"{sys.argv[1]}/{name}.json"))
lists = {"customers": read("customers"), "plans": read("plans")}
json.dump({"revision": 0, "lists": lists}, open(sys.argv[2], "w"))
PYTHON
  operate daemon-1 lists check "$folder/first.json"
  put_lists daemon-1 first.json
  in_force "$(value put.json 'it["revision"]')"
}

chat() {
  echo "{\"model\":\"surf-lm\",\"stream\":true,\"max_tokens\":$TOKENS,\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}"
}

stream_a_chat() {
  step "a streamed chat through daemon 1"
  local status
  status=$(call daemon-1 chat /v1/chat/completions --no-buffer \
    --header 'Content-Type: application/json' --data "$(chat 'Any waves?')")
  equal "status of the chat" "$status" 200
  read_stream chat 0 whole > "$folder/chat.text" || fail "the chat is not whole"
  equal "words of the chat" "$(tail -n 1 "$folder/chat.text" | wc -w)" "$TOKENS"
}

resume_a_chat() {
  step "the same chat again, broken off by its caller and resumed through daemon 2"
  # curl fails once its reader has closed the pipe, which is intended here.
  { call_broken_off || true; } > "$folder/begin"
  # The last event may be incomplete; only events that end in a blank line count.
  read_stream begin 0 part > "$folder/begin.text" || fail "the beginning has gaps"
  local last request place status
  last=$(head -n 1 "$folder/begin.text")
  request=${last%-*}
  place=${last##*-}
  [ "$place" -lt $((TOKENS - 1)) ] || fail "the chat ended before it could be broken off"
  status=$(call daemon-2 rest "/v1/requests/$request" --header "Last-Event-ID: $last")
  equal "status of the resumed chat" "$status" 200
  read_stream rest $((place + 1)) whole > "$folder/rest.text" || fail "the rest is not whole"
  equal "text of both parts" \
    "$(tail -n 1 "$folder/begin.text")$(tail -n 1 "$folder/rest.text")" \
    "$(tail -n 1 "$folder/chat.text")"
}

call_broken_off() {
  curl --silent --no-buffer --max-time 20 --header "Authorization: Bearer $KEY" \
    --header 'Content-Type: application/json' --data "$(chat 'Any waves?')" \
    "http://$(address daemon-1 callers)/v1/chat/completions" | head -n 40
}

book_once() {
  step "a booking through daemon 1, and its repeat through daemon 2"
  local status
  for daemon in daemon-1 daemon-2; do
    status=$(call "$daemon" "booked-$daemon" /services/bookings/bookings \
      --header 'Idempotency-Key: guest-1' --header 'Content-Type: application/json' \
      --data '{"id":"board-1"}')
    equal "status of the booking through $daemon" "$status" 201
  done
  equal "answer to the repeat" "$(cat "$folder/booked-daemon-2")" "$(cat "$folder/booked-daemon-1")"
  curl --silent --max-time 5 --output "$folder/counts.json" \
    "http://$(address bookings listening)/counts"
  equal "times the booking ran" \
    "$(value counts.json '[row["ran"] for row in it if row["id"] == "board-1"]')" "[1]"
}

edit_lists() {
  step "an edit of the lists through daemon 3, in force on all three"
  operate daemon-3 lists get > "$folder/lists.json"
  python3 - "$folder/lists.json" "$folder/edited.json" <<'PYTHON'
import json, sys
it = json.load(open(sys.argv[1]))
for plan in it["lists"]["plans"]:
    if plan["id"] == "reader":
        plan["running"] = 17
json.dump(it, open(sys.argv[2], "w"))
PYTHON
  put_lists daemon-3 edited.json
  in_force "$(value put.json 'it["revision"]')"
  for daemon in daemon-1 daemon-2 daemon-3; do
    operate "$daemon" dump plans reader > "$folder/plan.json"
    equal "the plan at $daemon" "$(value plan.json 'it["running"]')" 17
  done
  # An edit that is based on an older revision of the lists must be rejected.
  local code=0
  operate daemon-1 lists put "$folder/edited.json" 2> /dev/null || code=$?
  equal "exit code of an edit of older lists" "$code" 3
}

look_in() {
  step "status and dump, and nothing without the token"
  operate daemon-1 status
  operate daemon-1 --json status > "$folder/status.json"
  equal "endpoints of daemon 1" "$(value status.json 'it["endpoints"]')" 4
  operate daemon-2 dump endpoints > "$folder/endpoints.json"
  equal "endpoints dumped" "$(value endpoints.json 'len(it)')" 4
  echo wrong > "$folder/wrong.token"
  local code=0
  "$programs/poplarvale" --at "$(address daemon-1 operators)" \
    --token-file "$folder/wrong.token" status 2> /dev/null || code=$?
  equal "exit code with a wrong token" "$code" 4
}

# Moves to a version that fails every request. The move must be rolled back, and no caller may
# see a failure.
move_a_version() {
  step "a move to a version that fails, which is taken back"
  curl --silent --max-time 5 --header 'Content-Type: application/json' \
    --data '{"status":500}' "http://$(address engine-new listening)/faults"
  operate daemon-1 move start surf-lm --to v2 --within 300
  operate daemon-2 move wait surf-lm 2> "$folder/moved" &
  local waiter=$! status code=0 n=0
  while kill -0 "$waiter" 2> /dev/null; do
    n=$((n + 1))
    [ "$n" -lt 600 ] || fail "the move did not end"
    status=$(call "daemon-$((n % 3 + 1))" short /v1/completions \
      --header 'Content-Type: application/json' \
      --data '{"model":"surf-lm","max_tokens":2,"prompt":"tide"}')
    equal "status of a completion during the move" "$status" 200
  done
  wait "$waiter" || code=$?
  equal "exit code of the wait for the move" "$code" 6
  grep -q 'taken back' "$folder/moved" || fail "the move was not taken back"
  cat "$folder/moved"
}

end_all() {
  step "an orderly end while an answer is on its way"
  call daemon-2 last /v1/chat/completions --no-buffer \
    --header 'Content-Type: application/json' --data "$(chat 'One more?')" \
    > "$folder/last.status" &
  local reader=$!
  for _ in $(seq 250); do
    [ -s "$folder/last" ] && break
    sleep 0.02
  done
  [ -s "$folder/last" ] || fail "the last chat did not begin"
  for daemon in daemon-1 daemon-2 daemon-3; do
    kill -TERM "$(cat "$folder/$daemon.pid")"
  done
  for daemon in daemon-1 daemon-2 daemon-3; do
    local code=0
    wait "$(cat "$folder/$daemon.pid")" || code=$?
    equal "exit code of $daemon" "$code" 0
  done
  wait "$reader" || fail "the last chat was cut off"
  read_stream last 0 whole > "$folder/last.text" || fail "the last chat is not whole"
  equal "words of the last chat" "$(tail -n 1 "$folder/last.text" | wc -w)" "$TOKENS"
}

start_all
put_first_lists
stream_a_chat
resume_a_chat
book_once
edit_lists
move_a_version
look_in
end_all
echo "all answers were what they should be"
