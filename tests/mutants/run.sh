#!/usr/bin/env bash
# Shows that the proofs can fail: applies one fault to the source at a time, builds, and expects the
# named test to go red. Restores every file. Usage: tests/mutants/run.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
survived=0

# mutant NAME FILE PERL-EXPRESSION PROGRAM TEST
mutant() {
    local name=$1 file=$2 expression=$3 program=$4
    # Catch reads a comma as the start of another name.
    local test=${5//,/\\,}
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
    unit_tests "every answer is from one snapshot with correct coverage under arbitrary faults"
mutant inflated-coverage $policy/fanout/fanout.cpp \
    's/std::min\(reply.documents, m_snapshot.documentsByGroup.at\(groupId\)\)/reply.documents/' \
    unit_tests "every answer is from one snapshot with correct coverage under arbitrary faults"
mutant foreign-answer $policy/fanout/fanout.cpp \
    's/reply.queryId == m_query.id &&/true &&/' \
    unit_tests "every answer is from one snapshot with correct coverage under arbitrary faults"
mutant full-excluded $policy/fanout/fanout.cpp \
    's/group.tried.erase\(it->second.server\);/;/' \
    unit_tests "a server that shed an attempt is eligible for a later hedge"
mutant one-hedge-try $policy/fanout/fanout.cpp \
    's/group.hedgeAt = now \+ hedgeRetryInterval;/group.hedged = true;/' \
    unit_tests "a hedge without budget is retried and sent later"
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
    unit_tests "each notification that a server is leaving stops new requests until it restarts"
mutant unlimited-lender $policy/limits/lending.cpp \
    's/return it->second.take\(wanted, now\);/return wanted;/' \
    unit_tests "a plan's rate over the fleet is within the limit and used"
mutant no-refutation $policy/membership/member_table.cpp \
    's/m_self.refutation = update.refutation \+ 1;//' \
    unit_tests "a frozen host is declared dead and comes back by itself"
mutant false-refusal $engine/request_service.cpp \
    's/result.end == AttemptOutcome::Shed \|\|/result.end == AttemptOutcome::Shed || result.end == AttemptOutcome::Broken ||/' \
    process_tests "claims are executed at most once while responses of servers are lost"
mutant lost-is-unsent packages/adapters/loop/exchange_client.cpp \
    's/end\(connection, ExchangeEnd::Broken\);\n    \}\n\n    void finish/end(connection, ExchangeEnd::NotReached);\n    }\n\n    void finish/' \
    process_tests "claims are executed at most once while responses of servers are lost"
mutant serves-stale $engine/host_state.h \
    's/return listsDocument.revision\(\) < highestListsRevision\s*\|\| !freshness.mayServe\(members.known\(\), now\);/(void)now; return false;/' \
    process_tests "a host resumed after a freeze rejects work until it has the newest lists"
mutant hasty-stop $engine/shutdown_sequence.cpp \
    's/now \+ leavingPropagationTime \+ entryPointTtl/now/' \
    process_tests "planned stops of each host under load interrupt no query"

forward=$policy/forward
loop=packages/adapters/loop
mutant repeats-claims $forward/call.cpp \
    's/return part.mayHaveExecuted == 0;/return true;/' \
    unit_tests "a request that may have been executed is not retried unless it is idempotent"
mutant false-not-run $forward/call.cpp \
    's/if \(!mayHaveExecuted\(\)\)\n        return finish\(CallOutcome::Refused, out\);/return finish(CallOutcome::Refused, out);/' \
    unit_tests "calls keep their invariants for arbitrary server behaviour"
mutant thin-answers $forward/call.cpp \
    's/return parts > 0 && share >= m_route.minShardShare - rounding;/return parts > 0 || share > rounding;/' \
    unit_tests "calls keep their invariants for arbitrary server behaviour"
mutant free-hedges $forward/call.cpp \
    's/if \(m_hooks.tryWithdraw\(service, now\)\)\n        sendTo/if (true)\n        sendTo/' \
    unit_tests "an exhausted retry budget prevents extra attempts"
mutant budget-line $forward/call.h \
    's/m_parts\[part\].waiting && m_parts\[part\].tried.empty\(\)/m_parts[part].waiting/' \
    unit_tests "a part that waits for the retry budget or for an untried server is not queued"
mutant refusals-look-fast $forward/backend_table.cpp \
    's/total \+= refused \* refused \* m_parameters.refusalPenaltyMs;//' \
    unit_tests "a server that refuses half*"
mutant lapsed-are-gone $policy/mirror/mirror.cpp \
    's/afterOutage \? now \+ m_times.returnGrace : now/now/' \
    unit_tests "objects that vanish over an outage are kept until they had time to return"
mutant leftover-bytes $loop/exchange_client.cpp \
    's/return finish\(connection, !bytes.empty\(\)\);/return finish(connection, false);/' \
    unit_tests "bytes after an answer condemn the connection"
mutant late-answer $loop/exchange_client.cpp \
    's/connection.suspect = true;\n        return false;/return true;/' \
    unit_tests "an answer to an earlier request is dropped by its identity"
mutant reset-completes $loop/exchange_client.cpp \
    's/if \(ec == asio::error::eof && parser/if (ec \&\& parser/' \
    unit_tests "answers that end early are broken, whatever their framing"
mutant folded-headers $loop/request_head.cpp \
    's/if \(lineBegins && /if (false \&\& lineBegins \&\& /' \
    unit_tests "requests that two parsers could read differently are refused and not passed on"
mutant two-lengths $loop/front_server.cpp \
    's/if \(request.count\(http::field::content_length\) > 1\)/if (false)/' \
    unit_tests "requests that two parsers could read differently are refused and not passed on"
mutant routes-revert packages/daemon/forward/platform_copy.cpp \
    's/if \(m_table && table.value\(\)->version\(\) <= m_table->version\(\)\)/if (false)/' \
    process_tests "an accepted configuration is in force on every host and stays in force without the store"
mutant no-peer-copy packages/daemon/forward/platform_copy.cpp \
    's/    fetch\(DocumentKind::Lists\);\n//' \
    process_tests "an accepted configuration is in force on every host and stays in force without the store"
mutant promise-passed-on packages/daemon/forward/forward_service.cpp \
    's/if \(platform::guaranteesNotExecuted\(running.response.status\)\)/if (false)/' \
    process_tests "a non-idempotent request is executed at most once under each fault of the server"
mutant cut-at-stop packages/daemon/forward/forward_host.cpp \
    's/if \(m_callers.busy\(\) == 0 \|\| now >= m_exitAt\)/if (true)/' \
    process_tests "a planned stop interrupts no request and removes the host from the directory within 1 s"
mutant never-early $policy/forward/call.cpp \
    's/    admit\(now, out\);\n//' \
    unit_tests "with one shard down and another slow, requests that can be served on time are"
mutant idle-refused $policy/forward/call.cpp \
    's/constexpr double maxQueueingShare = lateFactor - 1;/constexpr double maxQueueingShare = -9;/' \
    unit_tests "servers whose processing time is close to the objective are not idle while requests are refused"
mutant line-ignored $policy/forward/backend_table.cpp \
    's/if \(best && waiting > 0\)/if (false)/' \
    unit_tests "the latency estimate includes the requests queued ahead"
mutant pooled-kinds $policy/forward/hedge_delay.cpp \
    's/m_tailLatencyMs.try_emplace\(route,/m_tailLatencyMs.try_emplace(std::string("all"),/; s/m_tailLatencyMs.find\(route\)/m_tailLatencyMs.find("all")/' \
    unit_tests "the hedge delay of a fast route does not depend on the latencies of a slow one"
mutant eager-watch $policy/mirror/mirror.cpp \
    's/std::min\(2 \* m_settle, m_times.longestSettle\)/m_times.firstSettle/' \
    unit_tests "changes in a long series cost few calls, and one after a calm is taken soon"
mutant always-whole $policy/membership/member_table.cpp \
    's/reachable\(m_self\) \? hashOf\(m_self\) : 0;/reinterpret_cast<std::uintptr_t>(this);/' \
    unit_tests "hosts that agree exchange no whole tables"
mutant same-digest $policy/membership/member_table.cpp \
    's/            out \^= hashOf\(it.second.member\);/            out ^= 0;/; s/std::uint64_t out = reachable\(m_self\) \? hashOf\(m_self\) : 0;/std::uint64_t out = 0;/' \
    unit_tests "two halves that lost each other find each other again"
mutant small-carry $policy/entrypoints/entry_points.cpp \
    's/    dropSmall\(members\);\n//' \
    unit_tests "callers are sent to a zone's large hosts while these are calm"
mutant whole-share $policy/entrypoints/entry_points.cpp \
    's/constexpr double carrierPart = 0.5;/constexpr double carrierPart = 1;/' \
    unit_tests "the hosts' parts of an allowance add up to no more than all of it"
mutant many-at-start $policy/entrypoints/entry_points.cpp \
    's/    if \(age < frugalTime\)\n        return 1;\n//' \
    unit_tests "hosts that start together leave room for connections that servers still hold"
mutant waits-for-reader packages/adapters/logging/log.cpp \
    's/if \(!hasRoom\(\)\)/if (false)/' \
    unit_tests "a reader of the log that stops reading does not stop the host"

ninja -C "$build" >/dev/null 2>&1
echo "$survived mutants survived"
[ "$survived" -eq 0 ]
