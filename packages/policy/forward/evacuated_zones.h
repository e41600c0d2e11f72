#pragma once

#include "core/clock.h"

#include <map>
#include <set>
#include <string>

namespace goldcrestline::policy::forward {

// Availability zones whose servers get no requests, and those to which traffic returns after an
// evacuation. Not thread-safe.
class EvacuatedZones
{
public:
    // Takes all zones as evacuated until the first call of update().
    void awaitUpdate() { m_known = false; }

    // Sets the evacuated zones. Traffic to zones that are no longer among them returns gradually.
    // `draw`: a random number in [0, 1), by which the hosts' traffic returns at different moments.
    void update(const std::set<std::string> &zones, double draw, core::TimePoint now);

    // Returns whether servers of the zone must not get requests.
    bool contains(const std::string &zone) const { return !m_known || m_zones.count(zone) != 0; }

    // Returns whether servers of the zone should get requests now, although others can take them:
    // always, except for some time after an evacuation, when it is so in a growing fraction of the
    // time.
    bool admits(const std::string &zone, core::TimePoint now) const;

private:
    double m_draw = 0;
    bool m_known = true;
    std::set<std::string> m_zones;
    // When the last evacuation of a zone ended.
    std::map<std::string, core::TimePoint> m_endedAt;
};

} // namespace goldcrestline::policy::forward
