#pragma once

#include "adapters/settings/settings.h"
#include "core/clock.h"
#include "daemon/engine/timer_queue.h"
#include "policy/config/document.h"
#include "policy/config/freshness.h"
#include "policy/config/lists.h"
#include "policy/idempotency/key.h"
#include "policy/membership/member_table.h"
#include "policy/routing/fleet.h"

#include <memory>
#include <random>

namespace goldcrestline::daemon::engine {

// State shared by the components of the engine. Not thread-safe: runs on the engine's event loop.
struct HostState
{
    HostState(std::shared_ptr<const adapters::settings::Settings> settings,
              policy::membership::MemberTable members,
              std::shared_ptr<const policy::idempotency::KeyIssuer> keys)
        : settings(std::move(settings)), members(std::move(members)), keys(std::move(keys)),
          freshness(this->settings->peers.confirmationMs.millis())
    { }

    std::shared_ptr<const adapters::settings::Settings> settings;
    policy::membership::MemberTable members;
    std::shared_ptr<const policy::idempotency::KeyIssuer> keys;
    policy::config::Freshness freshness;
    policy::config::Document listsDocument;
    policy::config::Document fleetDocument;
    std::shared_ptr<const policy::config::Lists> lists;
    std::shared_ptr<const policy::routing::Fleet> fleet;
    // Highest version of the lists reported by any host or by the platform.
    core::Version highestListsVersion;
    TimerQueue timers;
    std::mt19937 random{std::random_device{}()};

    // Returns a uniform number in [0, n). Precondition: n > 0.
    unsigned randomBelow(unsigned n)
    {
        return std::uniform_int_distribution<unsigned>(0, n - 1)(random);
    }

    // Whether this host's lists may lack a change that has been accepted.
    bool hasStaleLists(core::TimePoint now) const
    {
        return listsDocument.version() < highestListsVersion
            || !freshness.mayServe(members.knownCount(), now);
    }
};

} // namespace goldcrestline::daemon::engine
