#!/bin/sh
# run-case.sh FOLDER CASE: plays a case with the program and the arguments of the deploy file.
cd "$(dirname "$0")/.." || exit 2
record="$1/record.txt"
folder=$(mktemp -d) || exit 2
end_processes() {
    # Ends controllers that are left if the test itself was ended.
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            kill -KILL "$pid" 2>/dev/null
        done <"$folder/pids"
    fi
    if [ -n "$KEEP" ]; then
        cp "$folder"/*.log "$KEEP"
    fi
    rm -rf "$folder"
}
trap end_processes EXIT
trap 'exit 2' INT TERM
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -x target/review/standin ] || exit 2
# The words of the deploy file are the program and its arguments.
# shellcheck disable=SC2086
timeout -k 1 119 target/review/standin "$2" "$record" "$folder" $run
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
