#include "daemon/engine/reports.h"

#include <nlohmann/json.hpp>

namespace goldcrestline::daemon::engine {

using nlohmann::json;

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

} // namespace goldcrestline::daemon::engine
