#!/usr/bin/env bash
# Runs the program of a case: run_case.sh FOLDER PROGRAM. Ends every process that the program started.
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
case_dir=$(cd "$1" && pwd) || exit 2
cd "$case_dir/../.." || exit 2
program=target/review/$2
if [ ! -x "$program" ] || [ ! -x target/release/kingcupford-node ]; then
  echo "cannot run: build the deploy file and review/build.sh first" >&2
  exit 2
fi
work_dir=$(mktemp -d) || exit 2
end_all() {
  if [ -f "$work_dir/pids" ]; then
    while read -r pid; do
      # The id may belong to another process by now.
      if [ -r "/proc/$pid/cmdline" ] &&
        [ "$(tr -d '\0' < "/proc/$pid/cmdline")" = target/release/kingcupford-node ]; then
        kill -KILL "$pid" 2> /dev/null
      fi
    done < "$work_dir/pids"
  fi
  rm -rf "$work_dir"
}
trap end_all EXIT
timeout 115 "$program" "$work_dir" "$case_dir/record.txt"
result=$?
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
