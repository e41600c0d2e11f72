#pragma once

#include "adapters/loop/exchange_client.h"
#include "core/clock.h"
#include "platform/store.h"
#include "policy/membership/member.h"

#include <functional>
#include <string>
#include <vector>

namespace goldcrestline::daemon::forward {

// Records this host in the platform's store and finds the others there, once after the start; later
// the hosts know each other by gossip. Not thread-safe: lives on the loop.
class HostRegistry
{
public:
    struct Hooks
    {
        // Returns the store's address.
        std::function<std::string()> address;
        // Takes addresses at which other hosts may listen for peers.
        std::function<void(const std::vector<std::string> &)> onHosts;
    };

    HostRegistry(policy::membership::Member self, adapters::loop::ExchangeClient &client,
                 Hooks hooks);

    // Makes the next call if it is time. Call often.
    void tick(core::TimePoint now);

private:
    enum class Step { Create, Replace, List, Done };

    void send(ports::ExchangeRequest request, core::TimePoint now);
    void onReply(const platform::StoreReply &reply, core::TimePoint now);
    void takeHosts(const platform::StoreReply &reply);

    policy::membership::Member m_self;
    adapters::loop::ExchangeClient &m_client;
    Hooks m_hooks;
    Step m_step = Step::Create;
    bool m_underWay = false;
    std::string m_after;
    core::TimePoint m_nextAt{};
    core::Duration m_pause{};
};

} // namespace goldcrestline::daemon::forward
