#pragma once

#include "adapters/loop/exchange_client.h"
#include "core/clock.h"
#include "platform/store.h"
#include "policy/mirror/mirror.h"
#include "policy/mirror/store_era.h"

#include <functional>
#include <string>

namespace goldcrestline::daemon::forward {

// Keeps a copy of one kind of the store's objects: lists them, then watches for changes and
// delivers these in the store's order. Not thread-safe: use only on the event loop's thread.
class StoreSync
{
public:
    struct Hooks
    {
        // Receives each listed object, and each object that was created or changed.
        std::function<void(const platform::StoreObject &, core::TimePoint now)> onObject;
        std::function<void(const std::string &name, core::TimePoint now)> onRemoved;
        // Called for an object that is missing since an outage; onRemoved follows unless its owner
        // writes it again within the grace period.
        std::function<void(const std::string &name)> onMissing;
        // Called after each successful response, when its objects have been delivered. `watched`:
        // the response is that of a watch, not of a list.
        std::function<void(bool watched, core::TimePoint now)> onSynced;
        // Called when a watch got no response in time although the store answered before, and when
        // the store answers again after failed calls: it may have left the watches of other kinds
        // unanswered, too.
        std::function<void(core::TimePoint now)> onWatchSilent;
        // Returns how long the store may hold a watch without changes.
        std::function<core::Millis()> watchWait;
        // Compares the era of a store response with the newest one known.
        std::function<policy::mirror::EraOrder(std::optional<std::uint64_t> era)> observeEra;
        // Returns the store's address.
        std::function<std::string()> address;
    };

    StoreSync(std::string kind, adapters::loop::ExchangeClient &client,
              policy::mirror::Mirror mirror, Hooks hooks);

    // Makes the next call when it is due, and aborts a call that timed out: one without a part of
    // the response for some time. Call periodically.
    void tick(core::TimePoint now);

    // Aborts a watch that waits and calls the store again, since other hosts hold a newer state. A
    // call whose response has begun to arrive, or that the store answers at once, goes on.
    void checkNow(core::TimePoint now);

    // Aborts the call in flight and makes no further ones until the next tick(), which begins with
    // a list.
    void stop(core::TimePoint now);

    // Adds objects that the copy received in another way.
    void addKnown(const std::vector<std::string> &names) { m_mirror.addKnown(names); }

    // Aborts the call in flight and lists all objects again, since the store was restored from an
    // older copy.
    void onStoreRestored(core::TimePoint now);

    const policy::mirror::Mirror &mirror() const { return m_mirror; }
    // Calls made since the start.
    std::uint64_t calls() const { return m_calls; }

private:
    void begin(const policy::mirror::Step &step, core::TimePoint now);
    void onReply(bool watching, const platform::StoreReply &reply, core::TimePoint now);
    void abortCall(core::TimePoint now);
    // Extends the time-out if a part of the response arrived since the last call of this function.
    void extendTimeout(core::TimePoint now);
    void onRejected(const platform::StoreReply &reply, core::TimePoint now);
    void logFailure(const platform::StoreReply &reply);

    std::string m_kind;
    adapters::loop::ExchangeClient &m_client;
    policy::mirror::Mirror m_mirror;
    Hooks m_hooks;
    ports::ExchangeId m_exchange = 0;
    core::TimePoint m_startedAt{};
    core::TimePoint m_timeoutAt{};
    // The call in flight is a watch that the store answers only after a change.
    bool m_waiting = false;
    // Name after which the page in flight begins; empty for the first page and for a watch.
    std::string m_listAfter;
    // Bytes of the response when the time-out was last extended.
    std::uint64_t m_received = 0;
    std::uint64_t m_calls = 0;
};

} // namespace goldcrestline::daemon::forward
