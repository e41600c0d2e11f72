#pragma once

#include "adapters/loop/exchange_client.h"
#include "core/clock.h"
#include "platform/store.h"
#include "policy/membership/member.h"
#include "policy/mirror/list_cursor.h"
#include "policy/mirror/store_era.h"

#include <functional>
#include <string>
#include <vector>

namespace goldcrestline::daemon::forward {

// Registers this host in the platform's store and reads the other hosts' records, after the start
// and whenever the store was restored from an older copy. Otherwise the hosts find each other by
// gossip. Not thread-safe: use only on the event loop's thread.
class HostRegistry
{
public:
    struct Hooks
    {
        // Returns the store's address.
        std::function<std::string()> address;
        // Compares the era of a store response with the newest one known.
        std::function<policy::mirror::EraOrder(std::optional<std::uint64_t> era)> observeEra;
        // Receives the registered hosts of one page of the list.
        std::function<void(const std::vector<policy::membership::Member> &)> onHosts;
    };

    // `firstStart`: no host is registered yet.
    HostRegistry(policy::membership::Member self, bool firstStart,
                 adapters::loop::ExchangeClient &client, Hooks hooks);

    // Makes the next call to the store when it is due. Call periodically.
    void tick(core::TimePoint now);

    // Registers again, since the store was restored from a copy that may lack this host's record.
    void onStoreRestored(core::TimePoint now);

    // Returns whether the hosts that were registered at the start have been read.
    bool hostsRead() const { return m_hostsRead; }
    // Returns the number of calls to the store since the start.
    std::uint64_t calls() const { return m_calls; }

private:
    enum class Step { Create, Replace, List, Done };

    void send(ports::ExchangeRequest request, core::TimePoint now);
    void onReply(const platform::StoreReply &reply, core::TimePoint now);
    // Goes on with what does not need the call that the store rejected.
    void onRejected(const platform::StoreReply &reply, core::TimePoint now);
    void retryLater(core::TimePoint now);
    void addHosts(const platform::StoreReply &reply);

    policy::membership::Member m_self;
    adapters::loop::ExchangeClient &m_client;
    Hooks m_hooks;
    Step m_step = Step::Create;
    bool m_hostsRead = false;
    std::uint64_t m_calls = 0;
    bool m_callPending = false;
    // The call in flight was sent before the store was restored, so that its effect may be lost.
    bool m_callOutdated = false;
    policy::mirror::ListCursor m_cursor;
    core::TimePoint m_nextCallAt{};
    core::Duration m_backoff{};
};

} // namespace goldcrestline::daemon::forward
