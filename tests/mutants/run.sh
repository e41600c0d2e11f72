#!/usr/bin/env bash
# Shows that the proofs can fail: applies one fault to the source at a time, builds, and expects the
# named test to go red. Restores every file. Usage: tests/mutants/run.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
survived=0

# mutant NAME FILE PERL-EXPRESSION PROGRAM TEST
mutant() {
    local name=$1 file=$2 expression=$3 program=$4 test=$5
    if [ -n "${wanted:-}" ] && [[ " $wanted " != *" $name "* ]]; then return; fi
    cp "$file" /tmp/mutant.backup
    perl -0pi -e "$expression" "$file"
    if cmp -s "$file" /tmp/mutant.backup; then
        echo "$name: the fault does not apply to $file"
        survived=$((survived + 1))
        return
    fi
    if ! ninja -C "$build" >/tmp/mutant.build 2>&1; then
        echo "$name: does not build"
        survived=$((survived + 1))
    elif RC_PARAMS="seed=20261204" timeout 200 "$build/tests/$program" "$test" >/tmp/mutant.out 2>&1; then
        echo "$name: SURVIVED '$test'"
        survived=$((survived + 1))
    else
        echo "$name: red in '$test': $(grep -m1 -A1 -E 'FAILED:|RC_ASSERT|Falsifiable' /tmp/mutant.out | tr -s ' \n' ' ')"
    fi
    cp /tmp/mutant.backup "$file"
}

wanted="$*"
policy=packages/policy
engine=packages/daemon/engine

mutant mixed-snapshot $policy/fanout/fanout.cpp \
    's/&& reply.snapshot == m_snapshot.id//' \
    unit_tests "an answer is of one snapshot with true coverage under any faults"
mutant inflated-coverage $policy/fanout/fanout.cpp \
    's/std::min\(reply.documents, m_snapshot.documentsByGroup.at\(groupId\)\)/reply.documents/' \
    unit_tests "an answer is of one snapshot with true coverage under any faults"
mutant foreign-answer $policy/fanout/fanout.cpp \
    's/reply.queryId == m_query.id &&/true &&/' \
    unit_tests "an answer is of one snapshot with true coverage under any faults"
mutant full-excluded $policy/fanout/fanout.cpp \
    's/group.tried.erase\(it->second.server\);/;/' \
    unit_tests "a server that was full can be the hedge of a straggler"
mutant one-hedge-try $policy/fanout/fanout.cpp \
    's/group.hedgeAt = now \+ hedgePause;/group.hedged = true;/' \
    unit_tests "a hedge that was not allowed at first is sent later"
mutant run-again $policy/once/ledger.cpp \
    's/return Verdict::Join;/return Verdict::Run;/' \
    unit_tests "a ledger runs each key at most once unless it truly did not run"
mutant clock-back $policy/once/ledger.cpp \
    's/m_latest = std::max\(m_latest, now\);/m_latest = now;/g' \
    unit_tests "a clock that goes back does not revive a forgotten key"
mutant lists-revert $policy/config/document.h \
    's/revision <= m_revision/revision == m_revision/' \
    unit_tests "a document only moves to higher revisions"
mutant drain-ignored $policy/routing/server_table.cpp \
    's/noteLeaving\(\{id, server.record.startedAt\}\);//' \
    unit_tests "each sign of leaving stops new work until a later start"
mutant unlimited-lender $policy/limits/lending.cpp \
    's/return it->second.take\(wanted, now\);/return wanted;/' \
    unit_tests "a plan's rate over the fleet is within the limit and used"
mutant no-refutation $policy/membership/member_table.cpp \
    's/m_self.refutation = update.refutation \+ 1;//' \
    unit_tests "a frozen host is declared dead and comes back by itself"
mutant false-refusal $engine/request_service.cpp \
    's/result.end == AttemptEnd::Shed \|\|/result.end == AttemptEnd::Shed || result.end == AttemptEnd::Broken ||/' \
    process_tests "claims run at most once while servers lose answers"
mutant reused-connection packages/adapters/curl/http_server_channel.cpp \
    's/transfer.ownConnection = true;//' \
    process_tests "claims run at most once while servers lose answers"
mutant serves-stale $engine/host_state.h \
    's/return listsDocument.revision\(\) < highestListsRevision\s*\|\| !freshness.mayServe\(members.known\(\), now\);/(void)now; return false;/' \
    process_tests "a thawed host refuses until it knows the newest lists"
mutant hasty-stop $engine/stop_sequence.cpp \
    's/now \+ spreadTime \+ keep/now/' \
    process_tests "planned stops of each host under load cut nothing"

ninja -C "$build" >/dev/null 2>&1
echo "$survived mutants survived"
[ "$survived" -eq 0 ]
