#!/bin/bash
# LOST: a queue with advice; the service allows executors that are never among the 30 that are
# asked about. TROUBLE=0: the policy allows the other kind.
case_dir=$(cd "$(dirname "$0")" && pwd)
advice_line=advice_placeholder
. "$case_dir/../support-3/lib.sh"
advice_line="advice = \"$prefix.200:8641\""

small=00000000000014aa
job=00000000000014bb
allowed=b
[ "$TROUBLE" = 0 ] && allowed=a

# The second route has no advice and shares the pool. The jobs on it last.
write_setup '[{"name":"pool-one","kind":"a","count":36},{"name":"pool-one","kind":"b","count":4}]' \
  ',"advice":{"decisionMs":20,"periodMs":2,"validMs":3000}},{"name":"r-two","host":"queue.example",
  "pathPrefix":"/plain/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":600,
  "priority":0,"backend":"pool-one","maxAttempts":4,"latencyMultiplier":1.6' \
  "{\"kind\":\"$allowed\",\"decisionMs\":20,\"periodMs\":2,\"validMs\":3000}"
start_system

# A small task that lasts on each executor of kind b: 2 of their 64 cores.
cat >"$temp/small.json" <<END
{"spec":"-1 -1 2000 100",
 "steps":[{"replicas":4,"cpu":2000,"memMb":100,"estimateMs":1000,"daemon":true,"requires":"b",
           "antiAffinity":1}]}
END
path=/plain/
submit $small "$temp/small.json" || finish 2 "the first job was not accepted"
path=/jobs/
for ((i = 0; i < 50; ++i)); do
  (($(starts "$small") >= 4)) && break
  sleep 0.1
done
(($(starts "$small") >= 4)) || finish 2 "the first job did not start"
sleep 5

cat >"$temp/job.json" <<END
{"spec":"500 500 1000 100",
 "steps":[{"replicas":1,"cpu":1000,"memMb":100,"estimateMs":500}]}
END
submit $job "$temp/job.json" || finish 2 "the job was not accepted"
for ((i = 0; i < 40; ++i)); do
  sleep 1
  (($(starts "$job") > 0)) && break
done
call 1 GET "$path$job" >/dev/null
calls=$(grep -c "advice on $job" "$record")
if (($(starts "$job") == 0)); then
  finish 1 "LOST: the accepted job did not start in 40 s; $calls calls for advice never named an \
executor that is allowed, though 4 are nearly idle"
fi
finish 0 "the job started; $calls calls for advice"
