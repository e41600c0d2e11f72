#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace goldcrestline::policy::limits {

// Divides a fleet-wide rate among the hosts in proportion to the requests that their callers send.
// Hosts report their rates to each other; the shares of hosts that know all rates add up to 1. Not
// thread-safe.
class DemandShare
{
public:
    // Updates this host's rate. `requests`: requests of callers since the start of the process.
    // Call once per membership period.
    void onRequests(std::uint64_t requests, core::TimePoint now);

    // Records the rate that another host reported.
    void onReport(const std::string &host, double perSecond, core::TimePoint now);

    // Recomputes the share. `others`: the names of the other live hosts that callers are directed
    // to. Those without a recent report are taken to have the mean rate of the hosts with one.
    void update(const std::vector<std::string> &others, core::TimePoint now);

    // Returns this host's requests per second, a moving average.
    double perSecond() const { return m_perSecond; }
    // Returns this host's share, above 0 and at most 1; 1 before the first update().
    double share() const { return m_share; }

private:
    struct Report
    {
        double perSecond = 0;
        core::TimePoint receivedAt{};
    };

    double m_perSecond = 0;
    double m_share = 1;
    std::uint64_t m_lastRequests = 0;
    core::TimePoint m_updatedAt{};
    std::map<std::string, Report> m_reports;
};

} // namespace goldcrestline::policy::limits
