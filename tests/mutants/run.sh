#!/usr/bin/env bash
# Mutation tests: applies one fault to the source at a time, builds, and expects the named test to
# fail. Restores every file. Usage: tests/mutants/run.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
survived=0

# mutant NAME FILE PERL-EXPRESSION PROGRAM TEST
mutant() {
    local name=$1 file=$2 expression=$3 program=$4
    # Catch takes a comma as the separator of test names.
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
mutant run-again $policy/idempotency/ledger.cpp \
    's/return KeyDecision::Join;/return KeyDecision::Dispatch;/' \
    unit_tests "a ledger dispatches a key again only if its request was not executed"
mutant clock-back $policy/idempotency/ledger.cpp \
    's/m_latestTime = std::max\(m_latestTime, now\);/m_latestTime = now;/g' \
    unit_tests "a clock that is set back does not make an expired key valid again"
mutant lists-revert $policy/config/document.h \
    's/version <= m_version/version == m_version/' \
    unit_tests "the revision of a document never decreases"
mutant drain-ignored $policy/routing/server_table.cpp \
    's/noteLeaving\(\{id, server.record.startedAt\}\);//' \
    unit_tests "each notification that a server is leaving stops new requests until it restarts"
mutant unlimited-lender $policy/limits/lending.cpp \
    's/return it->second.take\(wanted, now\);/return wanted;/' \
    unit_tests "the fleet-wide rate of a plan stays within the limit and uses it"
mutant no-refutation $policy/membership/member_table.cpp \
    's/m_self.refutation = update.refutation \+ 1;//' \
    unit_tests "a paused host is declared dead and refutes it after it resumes"
mutant false-refusal $engine/request_service.cpp \
    's/result.outcome == AttemptOutcome::Shed \|\|/result.outcome == AttemptOutcome::Shed || result.outcome == AttemptOutcome::Broken ||/' \
    process_tests "claims are executed at most once while responses of servers are lost"
mutant lost-is-unsent packages/adapters/loop/exchange_client.cpp \
    's/failBroken\(connection, BrokenCause::ConnectionEnded\);/fail(connection, ExchangeOutcome::NotReached);/' \
    process_tests "claims are executed at most once while responses of servers are lost"
mutant serves-stale $engine/host_state.h \
    's/return listsDocument.version\(\) < highestListsVersion\s*\|\| !freshness.mayServe\(members.knownCount\(\), now\);/(void)now; return false;/' \
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
    's/ && state.tried.empty\(\);/;/' \
    unit_tests "a part that waits for the retry budget or for an untried server is not queued"
mutant refusals-look-fast $forward/backend_table.cpp \
    's/total \+= refused \* refused \* m_parameters.refusalPenaltyMs;//' \
    unit_tests "a server that refuses half*"
mutant lapsed-are-gone $policy/mirror/mirror.cpp \
    's/afterOutage \? now \+ m_times.removalGracePeriod : now/now/' \
    unit_tests "objects deleted during a store outage are removed only after the grace period"
mutant leftover-bytes $loop/exchange_client.cpp \
    's/return finish\(connection, !bytes.empty\(\)\);/return finish(connection, false);/' \
    unit_tests "a connection is not reused after extra bytes behind a response"
mutant late-answer $loop/exchange_client.cpp \
    's/connection.desynchronised = true;\n        return false;/return true;/' \
    unit_tests "a response to an earlier request is dropped by its identity header"
mutant reset-completes $loop/exchange_client.cpp \
    's/if \(ec == asio::error::eof && parser/if (ec \&\& parser/' \
    unit_tests "truncated responses end the exchange as broken with every kind of framing"
mutant folded-headers $loop/request_head.cpp \
    's/if \(lineBegins && /if (false \&\& lineBegins \&\& /' \
    unit_tests "ambiguously framed requests are rejected and not passed to the handler"
mutant two-lengths $loop/http_server.cpp \
    's/if \(request.count\(http::field::content_length\) > 1\)/if (false)/' \
    unit_tests "ambiguously framed requests are rejected and not passed to the handler"
mutant routes-revert packages/daemon/forward/platform_copy.cpp \
    's/if \(\*stated < version\(\)\)\n        return [^;]*;//; s/if \(\*stated > version\(\)\) \{/if (true) {/; s/table.value\(\)->version\(\) > version\(\)/true/g' \
    process_tests "an accepted configuration is in force on every host and stays in force without the store"
mutant no-peer-copy packages/daemon/forward/platform_copy.cpp \
    's/    m_exchange.tick\(now\);\n//g' \
    process_tests "an accepted configuration is in force on every host and stays in force without the store"
mutant promise-passed-on packages/daemon/forward/forward_service.cpp \
    's/if \(platform::guaranteesNotExecuted\(running.response.status\)\)/if (false)/' \
    process_tests "a non-idempotent request is executed at most once under each fault of the server"
mutant cut-at-stop packages/daemon/forward/forward_host.cpp \
    's/if \(active == 0 \|\| now >= m_exitAt\)/if (true)/' \
    process_tests "a planned stop interrupts no request and removes the host from the directory within 1 s"
mutant never-early $policy/forward/call.cpp \
    's/    admit\(now, out\);\n//' \
    unit_tests "with one shard down and another slow, requests that can be served on time are"
mutant idle-refused $policy/forward/call.cpp \
    's/constexpr double maxQueueingShare = lateFactor - 1;/constexpr double maxQueueingShare = -9;/' \
    unit_tests "requests are not refused while servers with processing time near the objective are idle"
mutant line-ignored $policy/forward/backend_table.cpp \
    's/if \(best && waiting > 0\)/if (false)/' \
    unit_tests "the latency estimate includes the requests queued ahead"
mutant pooled-kinds $policy/forward/hedge_delay.cpp \
    's/m_tailLatencyMs.try_emplace\(route,/m_tailLatencyMs.try_emplace(std::string("all"),/; s/m_tailLatencyMs.find\(route\)/m_tailLatencyMs.find("all")/' \
    unit_tests "the hedge delay of a fast route does not depend on the latencies of a slow one"
mutant eager-watch $policy/mirror/mirror.cpp \
    's/std::min\(2 \* m_batchDelay, m_times.maxBatchDelay\)/m_times.initialBatchDelay/' \
    unit_tests "a burst of changes takes few calls, and a change after a quiet period is fetched soon"
mutant always-whole $policy/membership/member_table.cpp \
    's/reachable\(m_self\) \? recordHash\(m_self, m_self.leaving\) : 0;/reinterpret_cast<std::uintptr_t>(this);/' \
    unit_tests "hosts with equal tables do not compare them"
mutant same-digest $policy/membership/member_table.cpp \
    's/            out \^= recordHash\(it.second.member, it.second.member.leaving\);/            out ^= 0;/; s/std::uint64_t out = reachable\(m_self\) \? recordHash\(m_self, m_self.leaving\) : 0;/std::uint64_t out = 0;/' \
    unit_tests "the two sides of a network partition merge after it heals"
mutant small-carry $policy/entrypoints/entry_points.cpp \
    's/    excludeSmallHosts\(members\);\n//' \
    unit_tests "only a zone's large hosts are entry points while none of them is strained"
mutant whole-share $policy/entrypoints/entry_points.cpp \
    's/constexpr double eligibleHostsFraction = 0.5;/constexpr double eligibleHostsFraction = 1;/' \
    unit_tests "the quota shares of all hosts add up to at most 1"
mutant many-at-start $policy/entrypoints/entry_points.cpp \
    's/    if \(uptime < singleConnectionPeriod\)\n        return 1;\n//' \
    unit_tests "hosts that start together allow for half-open connections that servers still hold"
mutant waits-for-reader packages/adapters/logging/log.cpp \
    's/if \(!isWritable\(\)\)/if (false)/' \
    unit_tests "a log reader that stops reading does not block the writer"

mutant era-ignored $policy/mirror/store_era.cpp \
    's/return EraOrder::Risen;/return EraOrder::Current;/' \
    process_tests "after a restore of the store hosts follow it again and nothing that left returns"
mutant old-era-taken $policy/mirror/store_era.cpp \
    's/return EraOrder::Outdated;/return EraOrder::Current;/' \
    unit_tests "the store's era rises once with each restore and earlier eras are outdated"
mutant removed-returns $policy/forward/departed_servers.cpp \
    's/return m_restoredAt \+ m_entryLifetime/return std::nullopt/' \
    process_tests "after a restore of the store hosts follow it again and nothing that left returns"
mutant no-new-record packages/daemon/forward/forward_host.cpp \
    's/\[this\]\(TimePoint now\) \{ m_registry.onStoreRestored\(now\); \}/[](TimePoint) {}/' \
    process_tests "after a restore of the store hosts follow it again and nothing that left returns"
mutant leaving-unheard platform/http_messages.cpp \
    's/reply.leaving =/reply.leaving = false \&\&/' \
    process_tests "a server that says in its responses that it is leaving gets no new requests"
mutant leaving-forgotten $policy/forward/backend_table.cpp \
    's/record.leaving \|\| isKnownAsLeaving\(record\)/record.leaving/' \
    unit_tests "a server that reports that it is leaving gets no requests until it restarts"
mutant rest-ignored $policy/forward/backend_table.cpp \
    's/\s*&& backend.restUntil <= now;/;/' \
    process_tests "servers that ask for no requests for a time get none, and callers hear when to return"
mutant flood-after-rest $policy/forward/backend_table.cpp \
    's/if \(rested && now < /if (false \&\& now < /' \
    unit_tests "a server that asks for a rest gets no requests until its end and few right after it"
mutant endless-head packages/adapters/loop/exchange_client.cpp \
    's/if \(bytes.size\(\) > maxUnparsedBytes\)/if (false)/' \
    unit_tests "a response without end is broken off at a bound of bytes"
mutant endless-interim packages/adapters/loop/exchange_client.cpp \
    's/if \(\+\+connection->discardedResponses > maxDiscardedResponses\)/if (false)/' \
    unit_tests "a response without end is broken off at a bound of bytes"
mutant memory-unbounded packages/adapters/loop/exchange_client.cpp \
    's/while \(bufferedBytes > options.maxBufferedBytes\)/while (false)/' \
    unit_tests "large unfinished responses are broken off while all of them exceed their memory"
mutant requests-unbounded packages/adapters/loop/http_server.cpp \
    's/while \(bufferedBytes > most\)/while (false)/' \
    unit_tests "unfinished requests of many connections stay within a bound together"
mutant any-status packages/adapters/loop/exchange_client.cpp \
    's/if \(parser.is_header_done\(\) && !isStatus/if (false \&\& !isStatus/' \
    unit_tests "a response with a status that is none ends its exchange at once"
mutant malformed-route-gone platform/configuration.cpp \
    's/return unusable;\n\}/return std::nullopt;\n}/' \
    unit_tests "a malformed field of a configuration leaves out its part alone"
mutant malformed-rate-unlimited platform/configuration.cpp \
    's/workspace.requestsPerSecond = optionalAmount/if (from.contains("rate_per_s") \&\& from.at("rate_per_s").is_number_unsigned())\n        workspace.requestsPerSecond = optionalAmount/' \
    unit_tests "a malformed field of a configuration leaves out its part alone"
mutant kept-unbounded platform/reply_reader.h \
    's/return m_keptBytes > maxKeptBytes;/return false;/' \
    unit_tests "a response with too much to keep is refused as one that would come again"
mutant unnamed-taken packages/adapters/loop/exchange_client.cpp \
    's/response.result_int\(\) >= lowestErrorStatus/true/' \
    unit_tests "a success without the identity header is not taken for the response"
mutant fixed-return $policy/forward/call.cpp \
    's/std::get<Finish>\(out.back\(\)\).expectedWait = expectedWait;/(void)expectedWait;/' \
    unit_tests "a refused call reports when it could be served"

mutant lists-without-era $policy/config/lists.cpp \
    's/edit.era = std::max\(current.era, era\);/edit.era = current.era;/' \
    process_tests "lists written after a restore of the store come into force at a lower revision"
mutant records-not-rewritten packages/daemon/engine/own_records.cpp \
    's/    m_completeAt = now \+ reconciliationTime;\n/    return;\n/' \
    process_tests "a claim whose record was lost by a restore of the store does not run again"

mutant backlog-reset packages/adapters/loop/http_server.cpp \
    's/    m_impl->acceptPending\(\);\n//' \
    unit_tests "requests that have arrived when the server stops accepting are answered"
mutant arrived-closed packages/adapters/loop/http_server.cpp \
    's/it->socket.available\(ec\) > 0/false/' \
    unit_tests "requests that have arrived when the server stops accepting are answered"
mutant restore-hidden $policy/mirror/mirror.cpp \
    's/m_consecutiveFailures > 0 \|\| m_watchAborted/false/' \
    process_tests "after a restore of the store hosts follow it again and nothing that left returns"
mutant spreads-compared $policy/membership/member_table.cpp \
    's/fromComparison \? notSpread : 0/0/' \
    unit_tests "a joint start of a large fleet sends each record to each host about once"
mutant zone-loss-late $policy/membership/member_table.cpp \
    's/if \(it->member.state == MemberState::Alive && \+\+aliveCount/if (++aliveCount/' \
    unit_tests "the loss of a zone is detected as early as if hosts probed all zones alike"
mutant trusts-watchers $policy/mirror/watch_role.cpp \
    's/if \(now - confirmedAt > m_timings.maxConfirmationAge\)/if (false)/' \
    unit_tests "a follower watches by itself while its watchers do not confirm that they reach the store"
mutant forgets-removals packages/daemon/forward/server_list.cpp \
    's/    m_uncommitted.insert\(id\);\n    m_recentRemovals.push_back\(\{id, now\}\);\n//' \
    unit_tests "a follower of changing watchers holds the list of the newest one"
mutant missing-used $policy/forward/backend_table.cpp \
    's/if \(backend.missing && /if (false \&\& /' \
    process_tests "a host that lost the store stops using a server that left meanwhile"
mutant late-heartbeat $policy/forward/departed_servers.cpp \
    's/if \(!restored && /if (false \&\& /' \
    unit_tests "a late heartbeat of a removed server does not bring it back"
mutant limit-unread platform/http_messages.cpp \
    's/reply.requestLimit = readRequestLimit\(result.headers\);//' \
    process_tests "a server gets no more requests than the limit that it names"
mutant limit-unshared $policy/limits/demand_share.cpp \
    's/m_share = own \/ .*?;/m_share = 1;/s' \
    unit_tests "hosts together send no more than a server's limit allows"
mutant new-connection-closed packages/adapters/loop/http_server.cpp \
    's/if \(!unread && !awaited/if (!unread/' \
    unit_tests "a connection accepted just before the server stops accepting gets its first answer"
mutant accept-dropped packages/adapters/loop/http_server.cpp \
    's/if \(!ec\)\n                startSession/if (!ec \&\& acceptor.is_open())\n                startSession/' \
    unit_tests "a connection whose accept completes as the server stops accepting is not dropped"
mutant silent-store packages/daemon/forward/platform_copy.cpp \
    's/return serversWatchWait\(\);/return longWatchWait;/' \
    process_tests "hosts whose watches have all gone silent at once learn of a leaving server in time"
mutant crash-forgotten $policy/quarantine/request_quarantine.cpp \
    's/if \(now < blockedUntil\(request, crashes\)\)/if (false)/' \
    unit_tests "the third crash blocks a request, and the earlier ones make it be handled with care"
mutant bystander-blocked $policy/quarantine/request_quarantine.cpp \
    's/ \|\| !repeated//' \
    unit_tests "a request at many servers that end together is tried again before it is blocked"
mutant completion-ignored $policy/quarantine/request_quarantine.cpp \
    's/crash.second.refuted = true;//' \
    unit_tests "a request that ran to its end is not held responsible for earlier crashes"
mutant cut-is-crash $policy/quarantine/end_check.cpp \
    's/m_refused = true;/m_result = ServerState::Ended;/' \
    unit_tests "a refused connection proves the end of a server only where another one is reached"
mutant crashes-untold packages/daemon/forward/quarantine_sync.cpp \
    's/gossip.crash[A-Za-z]* = [^;]*;//g' \
    process_tests "a host that starts learns from its peers which requests crash servers"
mutant down-for-all $policy/reach/reach_monitor.cpp \
    's/\(peersReach \|\| onlyNewFail\)/true/' \
    unit_tests "a host that reaches no server while others do is cut off"
mutant transfer-aborted packages/daemon/forward/store_sync.cpp \
    's/if \(!waits\)\n        return;//' \
    unit_tests "a host that is late with a large configuration goes on with the transfer it began"
mutant silent-with-servers packages/daemon/forward/platform_copy.cpp \
    's/    onWatchSilent\(now\);\n\}\n\nvoid PlatformCopy::checkStale/    m_servers.checkNow(now);\n}\n\nvoid PlatformCopy::checkStale/' \
    unit_tests "a change is in force although the store left the watches of all hosts unanswered"
mutant transfers-repeated $policy/mirror/fetch_schedule.cpp \
    's/!m_inFlight.empty\(\) \|\| //' \
    unit_tests "one transfer is in flight, however often peers report a newer version"
mutant cut-late packages/daemon/forward/forward_service.cpp \
    's/it.second->call.limitDeadline\(endAt\);//; s/, m_endAt\);/, TimePoint::max());/' \
    process_tests "requests late in the grace period of a planned stop are answered or refused, not cut"
mutant cut-off-listed $policy/entrypoints/entry_points.cpp \
    's/excludeFlagged\(members, &Member::cutOff\);//' \
    process_tests "directories leave out a host whose connections to all servers hang"

ninja -C "$build" >/dev/null 2>&1
echo "$survived mutants survived"
[ "$survived" -eq 0 ]
