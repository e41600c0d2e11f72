#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace goldcrestline::policy::mirror {

struct FetchTimings
{
    // Delay after a failed transfer: doubles from the initial to the maximum value.
    core::Duration initialRetryDelay = std::chrono::milliseconds(100);
    core::Duration maxRetryDelay = std::chrono::milliseconds(1600);
};

// Decides when a host fetches a newer version of a document from another host, and from which. One
// transfer is in flight at a time, however long it takes, since repeated ones would share the link
// and delay each other. Not thread-safe.
class FetchSchedule
{
public:
    // `random` returns a uniform number in [0, 1).
    FetchSchedule(FetchTimings timings, std::function<double()> random);

    // Records the version that a host states to have; call for each of its messages, since a host
    // that restarts may have an older one. `sameZone`: the host is in this host's zone and is
    // preferred. `delay`: time for the version to arrive in another way before it is fetched.
    void onReport(const std::string &address, bool sameZone, std::uint64_t version,
                  core::Duration delay, core::TimePoint now);

    // Records the version that this host has.
    void onOwnVersion(std::uint64_t version);

    // Returns the address of the host to fetch the document from now, if a transfer is due. The
    // caller starts it and reports its end by onEnded().
    std::optional<std::string> next(core::TimePoint now);

    // Records the end of the transfer in flight. After a failure its host is used again only when
    // it reports anew.
    void onEnded(bool succeeded, core::TimePoint now);

    // Returns whether hosts have stated a newer version for longer than the delay.
    bool overdue(core::TimePoint now) const { return m_dueAt && now >= *m_dueAt; }
    // Returns the newest version that a host has stated or this host has.
    std::uint64_t newest() const { return m_newest; }

private:
    struct Source
    {
        std::uint64_t version = 0;
        bool sameZone = false;
    };

    FetchTimings m_timings;
    std::function<double()> m_random;
    std::uint64_t m_own = 0;
    std::uint64_t m_newest = 0;
    // Hosts with a newer version than this one's, by address.
    std::map<std::string, Source> m_sources;
    // Host of the transfer in flight; empty without one.
    std::string m_inFlight;
    // Time from which a newer version is fetched; nothing if none is known.
    std::optional<core::TimePoint> m_dueAt;
    core::TimePoint m_notBefore{};
    int m_failures = 0;
};

} // namespace goldcrestline::policy::mirror
