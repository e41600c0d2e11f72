#include "daemon/forward/metrics.h"

namespace goldcrestline::daemon::forward {

namespace {

void appendLine(std::string &out, const std::string &name, std::uint64_t value)
{
    out += "goldcrestline_" + name + " " + std::to_string(value) + "\n";
}

} // namespace

std::string formatMetrics(const HostGauges &gauges, const ForwardCounters &counters,
                          const AdmissionCounters &admission, const WorkspaceCounters &workspaces,
                          core::TimePoint now)
{
    std::string out;
    appendLine(out, "configuration_version", gauges.version);
    appendLine(out, "configuration_parts_left_out", gauges.configurationPartsLeftOut);
    appendLine(out, "configuration_rejected", gauges.configurationRejected ? 1 : 0);
    appendLine(out, "configuration_watch_age_ms", gauges.configurationWatchAgeMs);
    appendLine(out, "document_fetches_total", gauges.documentFetches);
    appendLine(out, "document_fetches_failed_total", gauges.failedDocumentFetches);
    appendLine(out, "members", gauges.members);
    appendLine(out, "running", gauges.running);
    appendLine(out, "store_calls_total", gauges.storeCalls);
    appendLine(out, "store_reached", gauges.storeReached ? 1 : 0);
    appendLine(out, "connections_opened_total", gauges.connectionsOpened);
    appendLine(out, "log_lines_left_out_total", gauges.logLinesLeftOut);
    appendLine(out, "peer_bytes_total{purpose=\"gossip\"}", gauges.peerBytes.gossip);
    appendLine(out, "peer_bytes_total{purpose=\"comparisons\"}", gauges.peerBytes.comparisons);
    appendLine(out, "peer_bytes_total{purpose=\"documents\"}", gauges.peerBytes.documents);
    appendLine(out, "peer_bytes_total{purpose=\"other\"}", gauges.peerBytes.other);
    appendLine(out, "store_bytes_total", gauges.storeBytes);
    appendLine(out, "server_bytes_total", gauges.serverBytes);
    appendLine(out, "processor_use_percent", gauges.processorUsePercent);
    appendLine(out, "stopping", gauges.stopping ? 1 : 0);
    appendLine(out, "requests_total", admission.requests);
    appendLine(out, "requests_answered_total", counters.answered);
    appendLine(out, "requests_thin_total", counters.partial);
    appendLine(out, "requests_refused_total",
               counters.refused + admission.noConfiguration + admission.unproven
                   + admission.unusable);
    appendLine(out, "requests_unusable_total", admission.unusable);
    appendLine(out, "requests_no_route_total", admission.noRoute);
    appendLine(out, "requests_unknown_key_total", admission.unknownKey);
    appendLine(out, "requests_unproven_total", admission.unproven);
    appendLine(out, "requests_over_quota_total", admission.overQuota);
    appendLine(out, "requests_failed_total", counters.failed);
    appendLine(out, "requests_timed_out_total", counters.timedOut);
    appendLine(out, "callers_left_total", counters.callersDisconnected);
    appendLine(out, "attempts_total", counters.attempts);
    appendLine(out, "attempts_extra_total", counters.extraAttempts);
    appendLine(out, "servers_leaving_total", counters.serversLeaving);
    appendLine(out, "server_rests_total", counters.restsRequested);
    appendLine(out, "servers_limited_total", counters.serversLimited);
    appendLine(out, "limit_share_permille", gauges.limitSharePermille);
    appendLine(out, "cut_off_from_servers", gauges.cutOff ? 1 : 0);
    appendLine(out, "requests_relayed_total", gauges.requestsRelayed);
    appendLine(out, "requests_blocked_total", counters.blocked);
    appendLine(out, "quarantine_requests", gauges.requestsSuspected);
    appendLine(out, "quarantine_blocked", gauges.requestsBlocked);
    appendLine(out, "store_watching", gauges.storeWatching ? 1 : 0);
    appendLine(out, "store_era", gauges.storeEra);
    appendLine(out, "store_restores_total", gauges.storeRestores);
    if (gauges.proof.active) {
        if (gauges.proof.age)
            appendLine(out, "proof_age_ms", static_cast<std::uint64_t>(gauges.proof.age->count()));
        appendLine(out, "proof_fresh", gauges.proof.fresh ? 1 : 0);
    }
    appendLine(out, "proof_reads_total", gauges.proof.reads);
    appendLine(out, "proof_lapses_total", gauges.proof.lapses);
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < latencyBucketsMs.size(); ++i) {
        cumulative += counters.latency[i];
        appendLine(out, "latency_ms_bucket{le=\"" + std::to_string(latencyBucketsMs[i]) + "\"}",
                   cumulative);
    }
    cumulative += counters.latency.back();
    appendLine(out, "latency_ms_bucket{le=\"+Inf\"}", cumulative);
    return out + workspaces.format(now);
}

} // namespace goldcrestline::daemon::forward
