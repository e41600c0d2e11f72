#include "policy/forward/evacuated_zones.h"

#include "core/hash.h"

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// Time over which the traffic to a zone grows to its usual amount, since its servers may be cold.
constexpr core::Duration returnTime = std::chrono::seconds(3);
// A host decides once in this time whether it uses the zone. Deciding for each request would admit
// waiting requests, which try repeatedly, too early.
constexpr core::Duration decisionInterval = std::chrono::milliseconds(50);

} // namespace

void EvacuatedZones::update(const std::set<std::string> &zones, double draw, TimePoint now)
{
    for (const auto &it : m_zones) {
        if (zones.count(it) == 0)
            m_endedAt[it] = now;
    }
    std::erase_if(m_endedAt, [&](const auto &it) {
        return zones.count(it.first) != 0 || now - it.second >= returnTime;
    });
    m_zones = zones;
    m_draw = draw;
    m_known = true;
}

bool EvacuatedZones::admits(const std::string &zone, TimePoint now) const
{
    const auto it = m_endedAt.find(zone);
    if (it == m_endedAt.end() || now - it->second >= returnTime)
        return true;
    const double fraction = std::chrono::duration<double>(now - it->second) / returnTime;
    const auto decision = std::to_string(m_draw) + "/"
        + std::to_string(now.time_since_epoch() / decisionInterval) + "/" + zone;
    constexpr double hashRange = 18446744073709551616.0;
    return static_cast<double>(core::stableHash(decision)) / hashRange < fraction;
}

} // namespace goldcrestline::policy::forward
