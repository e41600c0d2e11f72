#pragma once

#include "adapters/loop/exchange_client.h"
#include "core/clock.h"
#include "daemon/forward/server_list.h"
#include "daemon/forward/store_sync.h"
#include "policy/forward/backend_table.h"
#include "policy/forward/route.h"
#include "ports/peer_link.h"

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace goldcrestline::daemon::forward {

// This host's copy of the platform's configuration and list of servers: from the store, and from
// other hosts while the store is out of reach. The configuration never goes back to an older
// version. Not thread-safe: lives on the loop.
class PlatformCopy
{
public:
    struct Hooks
    {
        std::function<std::string()> address;
        // Returns a number in [0, 1).
        std::function<double()> random;
        std::function<void(policy::forward::RouteTablePtr)> onRoutes;
    };

    PlatformCopy(adapters::loop::ExchangeClient &client, policy::forward::BackendTable &backends,
                 ports::PeerLink &peers, Hooks hooks);

    // Makes the calls that are due. Call often.
    void tick(core::TimePoint now);

    // Fills in what this host holds.
    void describe(ports::Gossip &gossip) const;

    // Takes what the host at `address` holds.
    void takeNews(const ports::Gossip &news, const std::string &address, core::TimePoint now);

    // Returns a copy for another host.
    ports::FetchResponse answer(ports::DocumentKind kind) const;

    // Tells whether the servers are known, from the store or from another host.
    bool serversKnown() const { return m_listed || m_borrowed; }
    std::uint64_t version() const { return m_table ? m_table->version() : 0; }
    std::uint64_t storeCalls() const { return m_config.calls() + m_servers.calls(); }
    bool storeReached() const;

private:
    StoreSync::Hooks configHooks();
    StoreSync::Hooks serverHooks();
    policy::mirror::Mirror makeMirror();
    void takeConfig(const nlohmann::json &spec, const std::string &from);
    void checkBehind(core::TimePoint now);
    void fetch(ports::DocumentKind kind);
    void takeCopy(const ports::FetchResponse &copy);

    ports::PeerLink &m_peers;
    Hooks m_hooks;
    ServerList m_serverList;
    StoreSync m_config;
    StoreSync m_servers;
    policy::forward::RouteTablePtr m_table;
    // The configuration as the platform spells it, for other hosts.
    std::string m_configText;
    std::uint64_t m_highestVersion = 0;
    // Host that told of the highest version.
    std::string m_teller;
    core::TimePoint m_behindSince{};
    // Servers were listed by the store since the start.
    bool m_listed = false;
    // Servers were taken from another host.
    bool m_borrowed = false;
};

} // namespace goldcrestline::daemon::forward
