#pragma once

#include "core/clock.h"

#include <map>
#include <optional>
#include <string>

// Whether this host reaches backend servers at all.
namespace goldcrestline::policy::reach {

struct ReachParameters
{
    // Servers that must have failed within the window below for a check, unless other hosts lead.
    std::size_t minSilentServers = 3;
    core::Duration failureWindow = std::chrono::seconds(1);
    // Interval between rounds of checks while they are needed.
    core::Duration checkInterval = std::chrono::milliseconds(400);
    // Another host must have had a response this much later than this host, and lately.
    core::Duration minPeerLead = std::chrono::milliseconds(200);
    // With this lead one failed attempt is enough for a check.
    core::Duration maxPeerLead = std::chrono::milliseconds(600);
    core::Duration peerNewsTime = std::chrono::seconds(3);
    // Rounds in a row in which a server was reached, after which the host counts as connected.
    int roundsToReturn = 2;
    // A host that was cut off again within this time needs more rounds, up to the maximum.
    core::Duration flapTime = std::chrono::seconds(10);
    int maxRoundsToReturn = 16;
};

// State machine that decides whether a host is cut off from all servers while other hosts reach
// them. A host whose servers are down for everybody is not cut off. Not thread-safe.
class ReachMonitor
{
public:
    explicit ReachMonitor(ReachParameters parameters = {}) : m_parameters(parameters) { }

    // Records a response of a server to this host.
    void onResponse(core::TimePoint now);

    // Records an attempt at a server without a response: it was not reached, it broke or it takes
    // too long.
    void onFailure(const std::string &server, core::TimePoint now);

    // Records the time of the newest response of a server to any other host.
    void onPeerResponse(core::TimePoint respondedAt);

    // Returns whether a round of checks is to be started now: opening connections to some servers.
    bool shouldCheck(core::TimePoint now);

    // Records the result of a round: whether any connection was opened.
    void onChecked(bool reached, core::TimePoint now);

    // The process did not run for some time, so that what it waited for proves nothing.
    void onPause(core::TimePoint now);

    bool cutOff() const { return m_cutOff; }

    // Time of the last response; the zero time before the first one.
    core::TimePoint respondedAt() const { return m_respondedAt; }

private:
    // Returns whether attempts at several servers have failed lately.
    bool suspicious(core::TimePoint now) const;
    void setCutOff(bool cutOff, core::TimePoint now);

    ReachParameters m_parameters;
    bool m_cutOff = false;
    core::TimePoint m_respondedAt{};
    core::TimePoint m_peerRespondedAt{};
    // Last failure of each server.
    std::map<std::string, core::TimePoint> m_failures;
    core::TimePoint m_nextCheckAt{};
    // Start of the last round if it failed; the zero time otherwise.
    core::TimePoint m_failedRoundAt{};
    bool m_checking = false;
    int m_reachedRounds = 0;
    int m_roundsToReturn = 0;
    core::TimePoint m_returnedAt{};
};

} // namespace goldcrestline::policy::reach
