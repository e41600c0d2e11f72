#include "daemon/forward/evacuation_sync.h"

#include "adapters/logging/log.h"
#include "platform/names.h"

#include <limits>

namespace goldcrestline::daemon::forward {

using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("evacuations:");

// Longest wait of a watch, as a fraction of the time within which an evacuation must be in force. A
// silent watch is noticed 1 s after its wait, and followers poll each 0.7 s.
constexpr double maxWatchWaitFraction = 0.3;
// Time since the servers were loaded, as the same fraction, after which a host that reaches neither
// the store nor a host that knows the zones uses all servers.
constexpr double maxStartWaitFraction = 0.5;
// Age from which a followed host's report no longer counts, if there is a newer one of another. The
// followed hosts are polled in turn each 0.7 s.
constexpr core::Millis reportLifetime{2000};
constexpr core::Millis callTimeout{600};
// Key of the zones that this host read itself while it watched the store.
constexpr const char *ownReport = "";

core::Millis fractionOf(core::Millis time, double fraction)
{
    return std::chrono::duration_cast<core::Millis>(time * fraction);
}

} // namespace

EvacuationSync::EvacuationSync(core::Millis applyTime, adapters::loop::ExchangeClient &client,
                               policy::forward::BackendTable &backends, ports::PeerLink &peers,
                               policy::mirror::Mirror mirror, Hooks hooks)
    : m_applyTime(applyTime), m_backends(backends), m_peers(peers), m_hooks(std::move(hooks)),
      m_sync(platform::names::evacuationsKind, client, std::move(mirror), syncHooks()),
      m_known(applyTime == core::Millis(0))
{
    if (!m_known)
        m_backends.awaitEvacuations();
}

StoreSync::Hooks EvacuationSync::syncHooks()
{
    return {[this](const platform::StoreObject &object, TimePoint now) {
                auto zones = m_zones;
                zones.insert(object.name);
                apply(std::move(zones), "store", now);
            },
            [this](const std::string &name, TimePoint now) {
                auto zones = m_zones;
                zones.erase(name);
                apply(std::move(zones), "store", now);
            },
            [](const std::string &) {},
            [this](bool, TimePoint now) {
                if (!m_sync.mirror().complete() || m_known)
                    return;
                m_known = true;
                apply(m_zones, "store", now);
            },
            [this](TimePoint now) { m_hooks.onWatchSilent(now); },
            [this] { return fractionOf(m_applyTime, maxWatchWaitFraction); },
            [this](std::optional<std::uint64_t> era) { return m_hooks.observeEra(era); },
            [this] { return m_hooks.address(); }};
}

void EvacuationSync::apply(std::set<std::string> zones, const std::string &from, TimePoint now)
{
    if (zones != m_zones) {
        std::string text;
        for (const auto &it : zones)
            text += (text.empty() ? "" : ",") + it;
        log.info("evacuated zones=" + text + " from=" + from);
    }
    m_zones = std::move(zones);
    if (m_known)
        m_backends.setEvacuated(m_zones, now);
}

void EvacuationSync::tick(bool serversLoaded, TimePoint now)
{
    if (m_applyTime == core::Millis(0))
        return;
    if (m_watching)
        m_sync.tick(now);
    if (m_known || !serversLoaded)
        return;
    if (m_waitingSince == TimePoint{})
        m_waitingSince = now;
    if (now - m_waitingSince < fractionOf(m_applyTime, maxStartWaitFraction))
        return;
    log.warning("evacuated zones unknown, neither the store nor a host told them");
    m_known = true;
    apply(m_zones, "nobody", now);
}

void EvacuationSync::setWatching(bool watching, TimePoint now)
{
    m_watching = watching;
    m_reports.clear();
    if (watching) {
        // Zones that are not on the list any more are removed.
        m_sync.addKnown(zones());
        return;
    }
    m_sync.stop(now);
    // The followed hosts may not know yet what this host read.
    m_reports[ownReport] = {m_zones, now};
}

void EvacuationSync::checkWatch(TimePoint now)
{
    if (m_watching && m_sync.mirror().watching() && !m_sync.mirror().failing())
        m_sync.checkNow(now);
}

void EvacuationSync::onStoreRestored(TimePoint now)
{
    if (m_applyTime != core::Millis(0))
        m_sync.onStoreRestored(now);
}

void EvacuationSync::onFollowed(const std::vector<std::string> &zones, const std::string &address,
                                TimePoint now)
{
    if (m_applyTime == core::Millis(0))
        return;
    m_reports[address] = {{zones.begin(), zones.end()}, now};
    if (m_watching) {
        if (m_sync.mirror().complete() && !m_sync.mirror().failing())
            return;
        m_known = true;
        // The next list of the store removes what it does not hold.
        m_sync.addKnown(zones);
        auto all = m_zones;
        all.insert(zones.begin(), zones.end());
        return apply(std::move(all), address, now);
    }
    m_known = true;
    // One of the followed hosts may not know an evacuation yet.
    std::set<std::string> reported;
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        if (now - it->second.receivedAt > reportLifetime) {
            it = m_reports.erase(it);
            continue;
        }
        reported.insert(it->second.zones.begin(), it->second.zones.end());
        ++it;
    }
    apply(std::move(reported), address, now);
}

void EvacuationSync::onPeerSeen(const std::string &address)
{
    if (m_known || m_callPending || (m_watching && m_sync.mirror().complete()))
        return;
    m_callPending = true;
    // No list is newer than this version, so that the response holds no servers.
    constexpr auto newest = std::numeric_limits<std::uint64_t>::max();
    m_peers.call(address, ports::CopyRequest{{newest, newest}}, callTimeout,
                 [this, address](const ports::PeerResult &result) {
                     m_callPending = false;
                     if (result.outcome != ports::PeerOutcome::Answered)
                         return;
                     const auto &response = std::get<ports::CopyResponse>(result.response);
                     if (response.version.revision != 0 && !m_known)
                         onFollowed(response.evacuatedZones, address, core::Clock::now());
                 });
}

} // namespace goldcrestline::daemon::forward
