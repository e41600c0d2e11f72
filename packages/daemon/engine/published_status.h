#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "policy/membership/member.h"

namespace goldcrestline::daemon::engine {

// What a host shows on its control address.
struct HostStatus
{
    std::string name;
    std::string zone;
    std::uint64_t incarnation = 0;
    bool leaving = false;
    bool serving = false;
    std::uint64_t listsRevision = 0;
    std::uint64_t fleetRevision = 0;
    bool watching = false;
    double confirmationAgeMs = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t peerCalls = 0;
    std::uint64_t silentConnections = 0;
    std::uint64_t falseDeaths = 0;
    std::size_t running = 0;
    std::size_t keys = 0;
    std::vector<policy::membership::Member> members;
    // Reports as JSON texts, made by the engine.
    std::string servicesJson = "{}";
    std::string levelsJson = "[]";
    core::Millis keepFor{0};
};

// The newest status, written by the engine and read by the control address. Not thread-safe.
class StatusBoard
{
public:
    void publish(HostStatus status)
    {
        m_status = std::make_shared<const HostStatus>(std::move(status));
    }

    // Returns the newest status; never null.
    std::shared_ptr<const HostStatus> read() const { return m_status; }

private:
    std::shared_ptr<const HostStatus> m_status = std::make_shared<const HostStatus>();
};

} // namespace goldcrestline::daemon::engine
