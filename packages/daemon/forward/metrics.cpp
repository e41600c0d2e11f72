#include "daemon/forward/metrics.h"

namespace goldcrestline::daemon::forward {

namespace {

void line(std::string &out, const std::string &name, std::uint64_t value)
{
    out += "goldcrestline_" + name + " " + std::to_string(value) + "\n";
}

} // namespace

std::string printMetrics(const HostGauges &gauges, const ForwardCounters &counters)
{
    std::string out;
    line(out, "configuration_version", gauges.version);
    line(out, "members", gauges.members);
    line(out, "running", gauges.running);
    line(out, "store_calls_total", gauges.storeCalls);
    line(out, "store_reached", gauges.storeReached ? 1 : 0);
    line(out, "connections_opened_total", gauges.connectionsOpened);
    line(out, "log_lines_left_out_total", gauges.logLinesLeftOut);
    line(out, "processor_use_percent", gauges.usePercent);
    line(out, "stopping", gauges.stopping ? 1 : 0);
    line(out, "requests_total", counters.requests);
    line(out, "requests_answered_total", counters.answered);
    line(out, "requests_thin_total", counters.thin);
    line(out, "requests_refused_total", counters.refused);
    line(out, "requests_failed_total", counters.failed);
    line(out, "requests_timed_out_total", counters.timedOut);
    line(out, "callers_left_total", counters.left);
    line(out, "attempts_total", counters.attempts);
    line(out, "attempts_extra_total", counters.extraAttempts);
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < latencyBucketsMs.size(); ++i) {
        below += counters.latency[i];
        line(out, "latency_ms_bucket{le=\"" + std::to_string(latencyBucketsMs[i]) + "\"}", below);
    }
    below += counters.latency.back();
    line(out, "latency_ms_bucket{le=\"+Inf\"}", below);
    return out;
}

} // namespace goldcrestline::daemon::forward
