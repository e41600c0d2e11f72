#pragma once

#include "daemon/engine/host_state.h"
#include "ports/peer_link.h"
#include "ports/platform_store.h"

#include <functional>
#include <string>

namespace goldcrestline::daemon::engine {

// Keeps this host's copies of the lists and of the fleet up to date: a few hosts watch the
// platform, the others fetch newer revisions from peers. Not thread-safe: runs on the engine's
// event loop.
class DocumentSync
{
public:
    // `onFleetUpdate` is called after a newer fleet was applied. Precondition: all arguments
    // outlive this.
    DocumentSync(HostState &host, ports::PlatformStore &platform, ports::PeerLink &peers,
                 std::function<void(core::TimePoint)> onFleetUpdate);

    // Starts the watches that are due if this host is one of the watchers. Call once per membership
    // period.
    void tick(core::TimePoint now);

    // Records the revisions in the gossip of the host at `address` and fetches newer documents from
    // it.
    void onPeerRevisions(const std::string &address, const ports::Gossip &gossip);

    // Returns this host's copy of a document, for a peer that fetches it.
    ports::FetchResponse localCopy(ports::DocumentKind kind) const;

    // Returns the newest known era of the platform's store; 0 if none is known.
    std::uint64_t storeEra() const { return m_platform.era(); }

    // Whether this host is one of the watchers of the platform.
    bool watching() const { return m_watching; }

private:
    struct Watch
    {
        ports::DocumentKind kind;
        std::string name;
        bool active = false;
        core::TimePoint nextStartAt{};
        core::Duration backoff{};
    };

    bool shouldWatch() const;
    void startWatch(Watch &watch, core::TimePoint now);
    void onWatchResponse(Watch &watch, core::TimePoint sentAt,
                         core::Result<ports::StoredObject> object);
    void fetch(const std::string &address, ports::DocumentKind kind);
    void applyDocument(ports::DocumentKind kind, const std::string &text, core::TimePoint now);
    void applyLists(const std::string &text);
    void applyFleet(const std::string &text, core::TimePoint now);

    HostState &m_host;
    ports::PlatformStore &m_platform;
    ports::PeerLink &m_peers;
    std::function<void(core::TimePoint)> m_onFleetUpdate;
    Watch m_listsWatch;
    Watch m_fleetWatch;
    // Highest platform versions received; a watch waits for a higher version.
    core::Version m_listsVersion;
    core::Version m_fleetVersion;
    bool m_watching = false;
    bool m_fetchingLists = false;
    bool m_fetchingFleet = false;
};

} // namespace goldcrestline::daemon::engine
