#include "cli/load_recorder.h"

#include "core/result_code.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace goldcrestline::cli {

using core::ResultCode;
using nlohmann::json;

namespace {

// Smallest coverage with which a response in time counts as useful.
constexpr double minUsefulCoverage = 0.99;
constexpr double latencyTargetMs = 150;

} // namespace

void LoadRecorder::add(const LoadSample &sample)
{
    ++m_samples;
    if (sample.wrong)
        ++m_wrong;
    if (!sample.answered) {
        ++m_lost;
        return;
    }
    ++m_codes[sample.code];
    const double ms = core::toMillis(sample.latency);
    const bool hasResult = sample.code == static_cast<int>(ResultCode::Ok)
        || sample.code == static_cast<int>(ResultCode::PartialCoverage);
    if (!hasResult) {
        m_refusedMs.push_back(ms);
        return;
    }
    m_answeredMs.push_back(ms);
    const double coverage = sample.allDocuments == 0
        ? 0
        : static_cast<double>(sample.answeredDocuments) / static_cast<double>(sample.allDocuments);
    m_coverage += coverage;
    if (sample.answeredDocuments == sample.allDocuments)
        ++m_full;
    if (coverage >= minUsefulCoverage && ms <= latencyTargetMs)
        ++m_useful;
}

double LoadRecorder::quantile(std::vector<double> &sorted, double q)
{
    if (sorted.empty())
        return 0;
    const auto n = static_cast<std::size_t>(q * static_cast<double>(sorted.size()));
    return sorted[std::min(n, sorted.size() - 1)];
}

json LoadRecorder::report(double durationSeconds, double offeredPerSecond) const
{
    auto answered = m_answeredMs;
    auto refused = m_refusedMs;
    std::sort(answered.begin(), answered.end());
    std::sort(refused.begin(), refused.end());
    const auto inTime =
        std::upper_bound(answered.begin(), answered.end(), latencyTargetMs) - answered.begin();
    const double n = std::max<double>(1, static_cast<double>(answered.size()));
    json codes = json::object();
    for (const auto &it : m_codes)
        codes[std::to_string(it.first)] = it.second;
    return {{"offered_per_s", offeredPerSecond},
            {"sent", m_samples},
            {"answered", answered.size()},
            {"answered_per_s", static_cast<double>(answered.size()) / durationSeconds},
            {"useful_per_s", static_cast<double>(m_useful) / durationSeconds},
            {"lost", m_lost},
            {"wrong", m_wrong},
            {"p50_ms", quantile(answered, 0.5)},
            {"p90_ms", quantile(answered, 0.9)},
            {"p99_ms", quantile(answered, 0.99)},
            {"p999_ms", quantile(answered, 0.999)},
            {"share_in_150_ms", static_cast<double>(inTime) / n},
            {"share_full", static_cast<double>(m_full) / n},
            {"mean_coverage", m_coverage / n},
            {"refused", refused.size()},
            {"refused_p50_ms", quantile(refused, 0.5)},
            {"refused_p99_ms", quantile(refused, 0.99)},
            {"codes", codes}};
}

} // namespace goldcrestline::cli
