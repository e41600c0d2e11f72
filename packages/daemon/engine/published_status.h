#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/version.h"
#include "policy/membership/member.h"

namespace goldcrestline::daemon::engine {

// Status of this host as served on its control address.
struct HostStatus
{
    std::string name;
    std::string zone;
    std::uint64_t incarnation = 0;
    bool leaving = false;
    bool serving = false;
    core::Version listsVersion;
    std::uint64_t fleetRevision = 0;
    // Newest era of the platform's store that is known; 0 if none.
    std::uint64_t storeEra = 0;
    bool watching = false;
    double confirmationAgeMs = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t peerCalls = 0;
    std::uint64_t silentConnections = 0;
    std::uint64_t falseDeaths = 0;
    std::size_t running = 0;
    std::size_t keys = 0;
    std::vector<policy::membership::Member> members;
    // JSON texts from reports.h.
    std::string servicesJson = "{}";
    std::string serviceLevelsJson = "[]";
    // Time for which callers may cache the list of entry points.
    core::Millis entryPointTtl{0};
};

// Holds the latest status: the engine publishes it, the control address reads it. Not thread-safe.
class PublishedStatus
{
public:
    // Replaces the status; readers of an earlier one keep it.
    void publish(HostStatus status)
    {
        m_status = std::make_shared<const HostStatus>(std::move(status));
    }

    // Returns the latest status; never null.
    std::shared_ptr<const HostStatus> latest() const { return m_status; }

private:
    std::shared_ptr<const HostStatus> m_status = std::make_shared<const HostStatus>();
};

} // namespace goldcrestline::daemon::engine
