#!/bin/bash
# Fault: scheduled jobs with many open occurrences; the entry that owns the pool needs more than
# memoryMb and is killed for it, as is each entry after it. TROUBLE=0: one such job.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../support-3/lib.sh"

jobs=80
[ "$TROUBLE" = 0 ] && jobs=1
limit_kb=$((260 * 1024))

write_setup '[{"name":"pool-one","kind":"a","count":9}]' ''
start_system

# Due every 30 s since a week ago; each occurrence works for 20 s.
first_due=$(($(now_ms) - 7 * 24 * 3600 * 1000))
cat >"$temp/job.json" <<END
{"spec":"20000 20000 1000 100","times":20160,"firstDueMs":$first_due,"intervalMs":30000,
 "steps":[{"replicas":1,"cpu":1000,"memMb":100,"estimateMs":20000}]}
END
accepted=0
for ((i = 0; i < jobs; ++i)); do
  submit "$(printf '00000000000014%02x' $i)" "$temp/job.json" && accepted=$((accepted + 1))
  (($(elapsed_s) > 40)) && break
done
note "jobs accepted: $accepted"

# The platform kills a process that exceeds memoryMb and starts it again after a short delay.
killed=0
most=0
while (($(elapsed_s) < 105)); do
  for n in 1 2 3; do
    kb=$(awk '/^VmRSS/ { print $2 }' "/proc/${entry_pid[$n]}/status" 2>/dev/null)
    [ -z "$kb" ] && continue
    ((kb > most)) && most=$kb
    if ((kb > limit_kb)); then
      kill -KILL "${entry_pid[$n]}"
      wait "${entry_pid[$n]}" 2>/dev/null
      killed=$((killed + 1))
      note "entry $n used $kb KB and was killed"
      sleep 0.5
      start_entry $n
    fi
  done
  sleep 0.1
done
note "killed: $killed; most memory: $most KB"
if ((killed >= 3)); then
  finish 1 "Fault: entries were killed $killed times for memory over the limit (most $most KB of \
$limit_kb KB) with $accepted jobs accepted"
fi
finish 0 "no entry was killed three times for memory ($killed; most $most KB of $limit_kb KB)"
