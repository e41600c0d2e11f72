#pragma once

#include "core/clock.h"
#include "core/version.h"
#include "policy/mirror/watch_role.h"
#include "ports/peer_link.h"

#include <functional>
#include <string>

namespace goldcrestline::daemon::forward {

// Polls the hosts of the zone that watch the store, one after the other, for changes of their
// copies. Not thread-safe: use only on the event loop's thread.
class CopyFollower
{
public:
    struct Hooks
    {
        // Returns the version of this host's copy of the server list.
        std::function<core::Version()> version;
        // Receives each response, with the address of the host that sent it. Returns false if it is
        // of an earlier era of the store, so that it confirms nothing.
        std::function<bool(const ports::CopyResponse &, const std::string &address,
                           core::TimePoint now)>
            onResponse;
    };

    // Precondition: the link and the role outlive this.
    CopyFollower(ports::PeerLink &peers, policy::mirror::WatchRole &role, Hooks hooks);

    // Sends the poll that is due, if the role names hosts to follow. Call periodically.
    void tick(core::TimePoint now);

private:
    void onResult(const ports::PeerResult &result, const std::string &address,
                  core::TimePoint requestedAt);

    ports::PeerLink &m_peers;
    policy::mirror::WatchRole &m_role;
    Hooks m_hooks;
    bool m_callPending = false;
    // Number of polls, by which the watchers take turns.
    std::size_t m_polls = 0;
    core::TimePoint m_nextPollAt{};
};

} // namespace goldcrestline::daemon::forward
