#pragma once

#include "daemon/forward/store_sync.h"
#include "policy/forward/backend_table.h"
#include "ports/peer_link.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace goldcrestline::daemon::forward {

// Learns the evacuated zones, from the store on hosts that watch it and from the followed hosts on
// the others, and excludes their servers. While neither answers, the last known zones stay in
// force. Not thread-safe: use only on the event loop's thread.
class EvacuationSync
{
public:
    struct Hooks
    {
        // As those of StoreSync.
        std::function<policy::mirror::EraOrder(std::optional<std::uint64_t> era)> observeEra;
        std::function<std::string()> address;
        std::function<void(core::TimePoint now)> onWatchSilent;
    };

    // `applyTime`: time within which an evacuation must be in force; 0: nothing is done and no
    // zone is evacuated. Otherwise the table uses no server until the zones are known.
    // Precondition: client, table and link outlive this.
    EvacuationSync(core::Millis applyTime, adapters::loop::ExchangeClient &client,
                   policy::forward::BackendTable &backends, ports::PeerLink &peers,
                   policy::mirror::Mirror mirror, Hooks hooks);

    // Makes the calls to the store that are due. `serversLoaded`: servers could be used if the
    // zones were known. Call periodically.
    void tick(bool serversLoaded, core::TimePoint now);

    // Sets whether this host watches the store, at each change.
    void setWatching(bool watching, core::TimePoint now);

    // Watches anew, since the watch of another kind was silent.
    void checkWatch(core::TimePoint now);

    // Lists the zones again. Precondition: this host watches the store.
    void onStoreRestored(core::TimePoint now);

    // Records the zones that a followed host reported.
    void onFollowed(const std::vector<std::string> &zones, const std::string &address,
                    core::TimePoint now);

    // Asks the host at `address` for the zones if this host does not know them.
    void onPeerSeen(const std::string &address);

    // Returns whether the zones are known, so that servers may be used.
    bool known() const { return m_known; }
    std::vector<std::string> zones() const { return {m_zones.begin(), m_zones.end()}; }
    // Calls to the store since the start.
    std::uint64_t calls() const { return m_sync.calls(); }

private:
    // The zones that another host reported.
    struct Report
    {
        std::set<std::string> zones;
        core::TimePoint receivedAt{};
    };

    StoreSync::Hooks syncHooks();
    // Brings the zones into force.
    void apply(std::set<std::string> zones, const std::string &from, core::TimePoint now);

    core::Millis m_applyTime;
    policy::forward::BackendTable &m_backends;
    ports::PeerLink &m_peers;
    Hooks m_hooks;
    StoreSync m_sync;
    bool m_watching = false;
    bool m_known;
    std::set<std::string> m_zones;
    // By address of the reporting host.
    std::map<std::string, Report> m_reports;
    bool m_callPending = false;
    // Time from which the servers wait only for the zones.
    core::TimePoint m_waitingSince{};
};

} // namespace goldcrestline::daemon::forward
