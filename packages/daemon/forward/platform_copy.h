#pragma once

#include "adapters/loop/exchange_client.h"
#include "core/clock.h"
#include "daemon/forward/configuration_exchange.h"
#include "daemon/forward/copy_follower.h"
#include "daemon/forward/evacuation_sync.h"
#include "daemon/forward/server_list.h"
#include "daemon/forward/store_sync.h"
#include "platform/configuration.h"
#include "policy/access/configuration_proof.h"
#include "policy/forward/backend_table.h"
#include "policy/forward/route.h"
#include "ports/peer_link.h"

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace goldcrestline::daemon::forward {

// This host's copy of the platform's configuration and server list, read from the store or, in a
// large zone or while the store is unreachable, from other hosts. The configuration is never
// replaced by an older version. Not thread-safe: use only on the event loop's thread.
class PlatformCopy
{
public:
    // The store's configuration as of one revision of the store.
    struct StoredConfiguration
    {
        policy::access::ObjectRevision revision;
        policy::access::ConfigurationId id;
    };

    struct Hooks
    {
        // Returns the store's address.
        std::function<std::string()> address;
        // Returns a uniform number in [0, 1).
        std::function<double()> random;
        // Receives the route table of each configuration that comes into force.
        std::function<void(policy::forward::RouteTablePtr)> onRoutes;
        // Called when the store was restored from an older copy.
        std::function<void(core::TimePoint now)> onStoreRestored;
    };

    // `entryLifetime`: time after which the store removes the entry of a silent server.
    // `evacuationTime`: time within which an evacuation must be in force; 0: there are none.
    PlatformCopy(adapters::loop::ExchangeClient &client, policy::forward::BackendTable &backends,
                 ports::PeerLink &peers, core::Duration entryLifetime, core::Millis evacuationTime,
                 Hooks hooks);

    // Makes the calls to the store and to peers that are due. Call periodically.
    void tick(core::TimePoint now);

    // Decides from the live hosts, `self` included, whether this host watches the store or follows
    // others. Call once per membership period, and more often until servers are known.
    void updateRole(const std::vector<policy::membership::Member> &live,
                    const policy::membership::Member &self, core::TimePoint now);
    // Sets the time after the start in which this host waits for copies of other hosts before it
    // reads the store itself.
    void setStartupDelay(core::Duration delay) { m_role.setStartupDelay(delay); }
    bool watching() const { return m_role.watching(); }
    // Returns whether this host reads the store for others of its zone.
    bool selected() const { return m_role.selected(); }

    // Fills in the versions of this host's copies.
    void fillGossip(ports::Gossip &gossip, core::TimePoint now) const;

    // Compares this host's copies with those of the host `from`.
    void onGossip(const ports::Gossip &gossip, const policy::membership::Member &from,
                  core::TimePoint now);

    // Returns this host's copy of a document, in reply to another host's fetch request.
    ports::FetchResponse handleFetch(ports::DocumentKind kind) const;
    // Returns this host's configuration, for one that may have an older one.
    ports::ConfigurationResponse handleConfiguration(const ports::ConfigurationRequest &request)
    {
        return m_exchange.handle(request);
    }

    // Returns the changes of the server list since a version, for a host that follows this one.
    ports::CopyResponse handleFollower(const ports::CopyRequest &request,
                                       core::TimePoint now) const;

    // Returns whether the server list was loaded, from the store or from another host, and the
    // evacuated zones are known.
    bool serversKnown() const
    {
        return (m_loadedFromStore || m_loadedFromPeer) && m_evacuations.known();
    }
    // Returns the number of parts of the configuration in force that are malformed and left out.
    std::size_t partsLeftOut() const { return m_table ? m_table->leftOut().size() : 0; }
    // Returns whether nothing of the configuration that was read last can be used.
    bool rejected() const { return m_rejected; }
    // Returns the version of the configuration in force; 0 without one.
    std::uint64_t version() const { return m_table ? m_table->version() : 0; }
    // Returns the configuration in force; version 0 without one.
    const policy::access::ConfigurationId &configuration() const { return m_exchange.inForce(); }
    // Returns what the store's configuration was at the newest revision that this host's own calls
    // covered; nothing if it is not known or was rejected.
    const std::optional<StoredConfiguration> &stored() const { return m_stored; }
    // Returns whether the configuration in force has workspaces.
    bool hasWorkspaces() const { return m_table && m_table->workspaces(); }
    // Applies the configuration of an object that was read, if it is newer than the one in force.
    // Returns the id of that configuration, or nothing if none of it can be used. `from`: the kind
    // of read, for the log.
    std::optional<policy::access::ConfigurationId> onConfigRead(const platform::StoreObject &object,
                                                                const std::string &from);
    // Returns the time since the store last responded to this host's own call for the
    // configuration; an hour if it never did.
    core::Duration configSyncAge(core::TimePoint now) const;
    // Returns the number of documents that this host requested from others since the start, and how
    // many of these requests failed.
    std::uint64_t fetches() const { return m_exchange.fetches(); }
    std::uint64_t failedFetches() const { return m_exchange.failedFetches(); }
    // Returns the number of calls to the store since the start.
    std::uint64_t storeCalls() const
    {
        return m_config.calls() + m_servers.calls() + m_evacuations.calls();
    }
    // Compares the era of a store response with the newest one known. If it rose, reads
    // everything from the store again.
    policy::mirror::EraOrder observeEra(std::optional<std::uint64_t> era, core::TimePoint now);
    const policy::mirror::StoreEra &storeEra() const { return m_era; }

    // Returns whether the last calls to the store succeeded.
    bool storeReached(core::TimePoint now) const;

private:
    // Asks the store again by all syncs that wait, since it may have left their watches unanswered.
    void onWatchSilent(core::TimePoint now);
    // Watches anew by a sync whose watch may have gone silent with the other one's.
    static void checkWatch(StoreSync &sync, core::TimePoint now);
    // Returns how long the store may hold this host's watch of the servers.
    core::Millis serversWatchWait() const;
    StoreSync::Hooks configHooks();
    StoreSync::Hooks serverHooks();
    EvacuationSync::Hooks evacuationHooks();
    policy::mirror::Mirror makeMirror();
    // Returns the random factor of the next backoff of calls to the store.
    double backoffFactor() const;
    // Returns whether this host's own watches of the store work.
    bool ownWatchWorks() const;
    // Records that the server list equals the store's.
    void onServersSynced(bool watched, core::TimePoint now);
    // Applies the response of a followed host; returns false if it is of an earlier era.
    bool onFollowed(const ports::CopyResponse &response, const std::string &address,
                    core::TimePoint now);
    // Returns the age of the newest proof that the copies equal the store's.
    core::Millis confirmationAge(core::TimePoint now) const;
    std::optional<policy::access::ConfigurationId> readConfig(const platform::StoreObject &object,
                                                              const std::string &from);
    // Bring a configuration into force if it is newer. Return whether any of it can be used.
    bool applyConfig(const nlohmann::json &spec, const std::string &from);
    bool applyPeerConfig(std::string text);
    // `text`: the configuration as other hosts get it.
    void bringIntoForce(policy::forward::RouteTablePtr table, std::string text,
                        const std::string &from, core::TimePoint startedAt);
    // Records which configuration the store held, after a response to this host's own call.
    void onConfigSynced(core::TimePoint now);
    // Records that the store may hold no configuration.
    void forgetStored();
    void checkStale(core::TimePoint now);
    // Compares this host's server list with that of a peer.
    void compareServers(const ports::Gossip &gossip, core::TimePoint now);
    // Watches the servers anew if peers have held a newer list for some time.
    void checkServersStale(core::TimePoint now);
    // Fetches the server list of the host at `address`, for use until the store's has been read.
    void fetchServers(const std::string &address);
    void applyPeerServers(const ports::FetchResponse &copy);

    ports::PeerLink &m_peers;
    Hooks m_hooks;
    policy::mirror::WatchRole m_role;
    CopyFollower m_follower;
    bool m_wasWatching = false;
    // Live hosts, this one included.
    std::size_t m_liveHosts = 1;
    // Version of the server list.
    core::Version m_serversVersion;
    // Time of the last response to this host's own watch of the servers.
    core::TimePoint m_syncedAt{};
    // The same for the configuration.
    core::TimePoint m_configSyncedAt{};
    policy::mirror::StoreEra m_era;
    ServerList m_serverList;
    StoreSync m_config;
    StoreSync m_servers;
    EvacuationSync m_evacuations;
    policy::forward::RouteTablePtr m_table;
    platform::ConfigDecoder m_decoder;
    ConfigurationExchange m_exchange;
    std::optional<StoredConfiguration> m_stored;
    // The configuration object that was read last, and the configuration that it holds; nothing if
    // it is rejected.
    policy::access::ObjectRevision m_lastRead;
    std::optional<policy::access::ConfigurationId> m_lastReadId;
    bool m_rejected = false;
    // The configuration that the last response to this host's own calls left in the store.
    std::optional<policy::access::ConfigurationId> m_synced;
    // Availability zone of this host.
    std::string m_zone;
    // Peer address of the host that last stated a newer configuration.
    std::string m_newerHost;
    // Time of the next check whether the own watch still works, while peers hold a newer version.
    core::TimePoint m_staleCheckAt{};
    bool m_serversFetchPending = false;
    // When a peer first reported a newer server list than this host's; zero if none did since this
    // host's last response from the store.
    core::TimePoint m_serversStaleSince{};
    // The server list was read from the store since the start.
    bool m_loadedFromStore = false;
    // Server entries were loaded from another host.
    bool m_loadedFromPeer = false;
};

} // namespace goldcrestline::daemon::forward
