#pragma once

#include "daemon/engine/host_state.h"
#include "ports/peer_link.h"
#include "ports/platform_store.h"

#include <functional>
#include <string>

namespace goldcrestline::daemon::engine {

// Keeps the copies of the lists and of the fleet at their highest revision: a few hosts watch the
// platform, the others fetch from peers. Owned by the engine's task.
class DocumentSync
{
public:
    // `onFleet` is called after a new list of servers was taken. Precondition: all outlive this.
    DocumentSync(HostState &host, ports::PlatformStore &platform, ports::PeerLink &peers,
                 std::function<void(core::TimePoint)> onFleet);

    // Starts or keeps up the watches if this host is one of the watchers; call every period.
    void tick(core::TimePoint now);

    // Takes the revisions that the host at `address` holds and fetches what is newer there.
    void onPeerRevisions(const std::string &address, const ports::Gossip &gossip);

    // Returns a copy for a peer.
    ports::FetchResponse answer(ports::DocumentKind kind) const;

    // Tells whether this host watches the platform.
    bool watching() const { return m_watching; }

    // Tells when the platform answered last; for reports.
    core::TimePoint platformAnsweredAt() const { return m_platformAnsweredAt; }

private:
    struct Watch
    {
        ports::DocumentKind kind;
        std::string name;
        bool active = false;
        core::TimePoint nextAt{};
        core::Duration pause{};
    };

    bool shouldWatch() const;
    void start(Watch &watch, core::TimePoint now);
    void onWatched(Watch &watch, core::TimePoint sentAt, core::Result<ports::StoredObject> object);
    void fetch(const std::string &address, ports::DocumentKind kind);
    void take(ports::DocumentKind kind, const std::string &text, core::TimePoint now);
    void takeLists(const std::string &text);
    void takeFleet(const std::string &text, core::TimePoint now);

    HostState &m_host;
    ports::PlatformStore &m_platform;
    ports::PeerLink &m_peers;
    std::function<void(core::TimePoint)> m_onFleet;
    Watch m_lists;
    Watch m_fleet;
    // Platform versions of the objects last seen; a watch asks for higher ones.
    std::uint64_t m_listsVersion = 0;
    std::uint64_t m_fleetVersion = 0;
    bool m_watching = false;
    bool m_fetchingLists = false;
    bool m_fetchingFleet = false;
    core::TimePoint m_platformAnsweredAt{};
};

} // namespace goldcrestline::daemon::engine
