#pragma once

#include "adapters/loop/exchange_client.h"
#include "core/clock.h"
#include "platform/store.h"
#include "policy/mirror/mirror.h"

#include <functional>
#include <string>

namespace goldcrestline::daemon::forward {

// Keeps a copy of one kind of the store's objects in the order in which the store changed them.
// Not thread-safe: lives on the loop.
class StoreSync
{
public:
    struct Hooks
    {
        std::function<void(const platform::StoreObject &, core::TimePoint now)> onObject;
        std::function<void(const std::string &name, core::TimePoint now)> onRemoved;
        // Returns the store's address.
        std::function<std::string()> address;
    };

    StoreSync(std::string kind, adapters::loop::ExchangeClient &client,
              policy::mirror::Mirror mirror, Hooks hooks);

    // Makes the next call if it is time, and gives up one that takes too long. Call often.
    void tick(core::TimePoint now);

    // Takes a hint that other hosts know a newer state: a call under way is given up.
    void onBehind(core::TimePoint now);

    const policy::mirror::Mirror &mirror() const { return m_mirror; }
    std::uint64_t calls() const { return m_calls; }

private:
    void begin(const policy::mirror::Step &step, core::TimePoint now);
    void onReply(bool watching, const platform::StoreReply &reply, core::TimePoint now);
    void logFailure(const platform::StoreReply &reply);

    std::string m_kind;
    adapters::loop::ExchangeClient &m_client;
    policy::mirror::Mirror m_mirror;
    Hooks m_hooks;
    ports::ExchangeId m_exchange = 0;
    core::TimePoint m_giveUpAt{};
    std::uint64_t m_calls = 0;
};

} // namespace goldcrestline::daemon::forward
