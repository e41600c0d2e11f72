#include "daemon/engine/reports.h"

#include <nlohmann/json.hpp>

namespace goldcrestline::daemon::engine {

using nlohmann::json;

namespace {

constexpr core::Duration shortWindow = std::chrono::minutes(5);
constexpr core::Duration longWindow = std::chrono::hours(1);
// Buckets of ten seconds in the time series of a report.
constexpr std::size_t seriesBuckets = 30;

} // namespace

std::string servicesJson(const QueryService &queries)
{
    json out = json::object();
    for (const auto &[name, state] : queries.services()) {
        const auto &it = state->counters;
        out[name] = {{"queries", it.queries},
                     {"full", it.full},
                     {"partial", it.partial},
                     {"refused", it.refused},
                     {"in_time", it.inTime},
                     {"late", it.late},
                     {"attempts", it.attempts},
                     {"hedges", it.hedges},
                     {"retries", it.retries},
                     {"sheds", it.sheds},
                     {"cancels", it.cancels},
                     {"joined", it.joined},
                     {"coverage_sum", it.coverageSum},
                     {"limit", state->limiter.limit()},
                     {"running", state->limiter.inFlight()},
                     {"leaving", json::array()}};
        for (const auto &note : state->servers.leavingNotes())
            out[name]["leaving"].push_back(note.serverId);
    }
    return out.dump();
}

std::string serviceLevelsJson(const QueryService &queries, core::TimePoint now)
{
    const auto countsJson = [](const policy::burn::Counts &it) {
        return json{{"total", it.total}, {"late", it.late}, {"thin", it.thin}};
    };
    json out = json::array();
    for (const auto &[key, level] : queries.serviceLevels()) {
        json series = json::array();
        for (const auto &it : level.window.series(seriesBuckets, now))
            series.push_back(countsJson(it));
        out.push_back({{"plan", key.first},
                       {"service", key.second},
                       {"target_in_time", level.targetInTime},
                       {"target_coverage", level.targetCoverage},
                       {"short", countsJson(level.window.sum(shortWindow, now))},
                       {"long", countsJson(level.window.sum(longWindow, now))},
                       {"series", series}});
    }
    return out.dump();
}

} // namespace goldcrestline::daemon::engine
