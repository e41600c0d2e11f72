#include "daemon/forward/platform_copy.h"

#include "adapters/logging/log.h"
#include "core/hash.h"
#include "platform/names.h"

#include <algorithm>

namespace goldcrestline::daemon::forward {

using core::TimePoint;
using ports::DocumentKind;

namespace {

constexpr adapters::logging::LogChannel log("copy:");

// Time for a newer version that a peer reported to arrive through this host's own watch, before it
// is fetched from a peer.
constexpr core::Millis watchDelayLimit{400};
// The same on a follower, which learns it by its polls.
constexpr core::Millis followDelayLimit{1500};
// Time for the server list of a newer revision that a peer reported to arrive through this host's
// own watch, before the servers are watched anew. Above the delay of a watch after changes.
constexpr core::Millis serversDelayLimit{1000};
// Interval between checks of the own watch while peers hold a newer configuration.
constexpr core::Millis staleCheckPeriod{1000};
constexpr core::Millis fetchTimeout{1000};
// Time for which the store holds a watch without changes. It is long because store calls are
// billed; a dead connection is detected earlier, by TCP keep-alive.
constexpr core::Millis longWatchWait{25000};
// The same for the servers on a host that others follow, whose responses confirm the copies of all.
constexpr core::Millis followedWatchWait{1500};
// Without followers, each host's watch of the servers ends after a random time of at most this much
// per live host, so that one of them soon notices a store that answers no watch, however many there
// are, and the others by its news.
constexpr core::Millis watchWaitPerHost{1500};
// Above this number of live hosts, those that no others follow wait longer after failed calls, up
// to the maximum factor: billed calls, of which the followed hosts' are enough.
constexpr double hostsPerBackoff = 40;
constexpr double maxBackoffScale = 3;
// Age reported without any confirmation.
constexpr core::Millis unconfirmedAge{3600000};
// Parts of a configuration that are left out and logged one by one.
constexpr std::size_t maxLoggedParts = 20;

void logLeftOut(const policy::forward::RouteTable &table)
{
    const auto &errors = table.leftOut();
    for (std::size_t i = 0; i < std::min(errors.size(), maxLoggedParts); ++i) {
        log.error("left out of configuration version=" + std::to_string(table.version()) + ": "
                  + errors[i].text());
    }
    if (errors.size() > maxLoggedParts) {
        log.error("left out of configuration version=" + std::to_string(table.version())
                  + " further=" + std::to_string(errors.size() - maxLoggedParts));
    }
}

} // namespace

PlatformCopy::PlatformCopy(adapters::loop::ExchangeClient &client,
                           policy::forward::BackendTable &backends, ports::PeerLink &peers,
                           core::Duration entryLifetime, core::Millis evacuationTime, Hooks hooks)
    : m_peers(peers), m_hooks(std::move(hooks)), m_role({}),
      m_follower(peers, m_role,
                 {[this] { return m_serversVersion; },
                  [this](const ports::CopyResponse &response, const std::string &address,
                         TimePoint now) { return onFollowed(response, address, now); }}),
      m_serverList(backends, entryLifetime),
      m_config(platform::names::configKind, client, makeMirror(), configHooks()),
      m_servers(platform::names::serversKind, client, makeMirror(), serverHooks()),
      m_evacuations(evacuationTime, client, backends, peers, makeMirror(), evacuationHooks()),
      m_exchange(peers,
                 {[this] { return m_hooks.random(); }, core::Clock::now,
                  [this](std::string text) { return applyPeerConfig(std::move(text)); }})
{ }

policy::mirror::Mirror PlatformCopy::makeMirror()
{
    return {{}, [this] { return backoffFactor(); }};
}

double PlatformCopy::backoffFactor() const
{
    const double jitter = 0.5 + m_hooks.random() / 2;
    if (m_role.followed())
        return jitter;
    // While the store is down for all hosts, the sum of their calls does not grow with the hosts.
    const auto scale = static_cast<double>(m_liveHosts) / hostsPerBackoff;
    return jitter * std::clamp(scale, 1.0, maxBackoffScale);
}

bool PlatformCopy::ownWatchWorks() const
{
    return m_wasWatching && m_servers.mirror().complete() && !m_servers.mirror().failing()
        && !m_config.mirror().failing();
}

StoreSync::Hooks PlatformCopy::configHooks()
{
    return {
        [this](const platform::StoreObject &object, TimePoint) {
            if (object.name == platform::names::configName)
                m_synced = onConfigRead(object, "store");
        },
        [this](const std::string &name, TimePoint) {
            if (name != platform::names::configName)
                return;
            forgetStored();
            log.warning("configuration removed name=" + name + "; the last one remains in force");
        },
        [this](const std::string &name) {
            if (name == platform::names::configName)
                forgetStored();
        },
        [this](bool, TimePoint now) { onConfigSynced(now); },
        [this](TimePoint now) { onWatchSilent(now); },
        [] { return longWatchWait; },
        [this](std::optional<std::uint64_t> era) { return observeEra(era, core::Clock::now()); },
        [this] { return m_hooks.address(); }};
}

StoreSync::Hooks PlatformCopy::serverHooks()
{
    return {
        [this](const platform::StoreObject &object, TimePoint now) {
            m_serverList.onObject(object.name, object.spec, now);
        },
        [this](const std::string &name, TimePoint now) { m_serverList.onRemoved(name, now); },
        [this](const std::string &name) { m_serverList.onMissing(name); },
        [this](bool watched, TimePoint now) { onServersSynced(watched, now); },
        [this](TimePoint now) { onWatchSilent(now); },
        [this] { return serversWatchWait(); },
        [this](std::optional<std::uint64_t> era) { return observeEra(era, core::Clock::now()); },
        [this] { return m_hooks.address(); }};
}

EvacuationSync::Hooks PlatformCopy::evacuationHooks()
{
    return {
        [this](std::optional<std::uint64_t> era) { return observeEra(era, core::Clock::now()); },
        [this] { return m_hooks.address(); }, [this](TimePoint now) { onWatchSilent(now); }};
}

void PlatformCopy::onWatchSilent(TimePoint now)
{
    checkWatch(m_config, now);
    checkWatch(m_servers, now);
    m_evacuations.checkWatch(now);
}

void PlatformCopy::checkWatch(StoreSync &sync, TimePoint now)
{
    if (sync.mirror().watching() && !sync.mirror().failing())
        sync.checkNow(now);
}

core::Millis PlatformCopy::serversWatchWait() const
{
    if (m_role.followed())
        return followedWatchWait;
    const auto spread = static_cast<double>(m_liveHosts) * m_hooks.random()
        * static_cast<double>(watchWaitPerHost.count());
    return std::clamp(core::Millis(static_cast<std::int64_t>(spread)), followedWatchWait,
                      longWatchWait);
}

bool PlatformCopy::applyConfig(const nlohmann::json &spec, const std::string &from)
{
    const auto startedAt = core::Clock::now();
    const auto table = platform::decodeConfig(spec);
    if (!table.has_value()) {
        log.error("configuration refused from=" + from + ": " + table.error().text());
        return false;
    }
    if (table.value()->version() > version())
        bringIntoForce(table.value(), platform::configText(spec), from, startedAt);
    return true;
}

bool PlatformCopy::applyPeerConfig(std::string text)
{
    const auto startedAt = core::Clock::now();
    const auto table = m_decoder.decode(text);
    if (!table.has_value()) {
        log.error("configuration refused from=peer: " + table.error().text());
        return false;
    }
    if (table.value()->version() > version())
        bringIntoForce(table.value(), std::move(text), "peer", startedAt);
    return true;
}

void PlatformCopy::bringIntoForce(policy::forward::RouteTablePtr table, std::string text,
                                  const std::string &from, TimePoint startedAt)
{
    m_table = std::move(table);
    m_rejected = false;
    const auto bytes = text.size();
    const auto digest = core::stableHash(text);
    m_exchange.setInForce({m_table->version(), digest}, std::move(text));
    m_hooks.onRoutes(m_table);
    log.info("configuration in force version=" + std::to_string(m_table->version())
             + " from=" + from + " routes=" + std::to_string(m_table->routes().size())
             + " bytes=" + std::to_string(bytes)
             + " ms=" + std::to_string(core::wholeMillis(core::Clock::now() - startedAt)));
    logLeftOut(*m_table);
}

void PlatformCopy::onConfigSynced(TimePoint now)
{
    m_configSyncedAt = now;
    if (!m_config.mirror().complete())
        return;
    if (!m_synced)
        return m_stored.reset();
    m_stored = StoredConfiguration{{m_era.newest(), m_config.mirror().revision()}, *m_synced};
}

void PlatformCopy::forgetStored()
{
    m_synced.reset();
    m_stored.reset();
}

std::optional<policy::access::ConfigurationId>
PlatformCopy::onConfigRead(const platform::StoreObject &object, const std::string &from)
{
    const policy::access::ObjectRevision revision{m_era.newest(), object.revision};
    if (revision != m_lastRead || object.revision == 0) {
        m_lastRead = revision;
        m_lastReadId = readConfig(object, from);
    }
    return m_lastReadId;
}

std::optional<policy::access::ConfigurationId>
PlatformCopy::readConfig(const platform::StoreObject &object, const std::string &from)
{
    const auto stated = platform::configVersion(object.spec);
    m_rejected = !stated;
    if (m_rejected) {
        log.error("configuration refused from=" + from
                  + ": no version can be read; the one in force is not proven any more");
        return std::nullopt;
    }
    if (*stated < version())
        return policy::access::ConfigurationId{*stated, 0};
    if (*stated > version()) {
        if (!applyConfig(object.spec, from) || *stated > version())
            return std::nullopt;
        return configuration();
    }
    // The content may differ from the one in force.
    return policy::access::ConfigurationId{*stated,
                                           core::stableHash(platform::configText(object.spec))};
}

void PlatformCopy::updateRole(const std::vector<policy::membership::Member> &live,
                              const policy::membership::Member &self, TimePoint now)
{
    m_liveHosts = live.size();
    m_zone = self.zone;
    // Before the operator writes the first configuration, the server list is all there is.
    m_role.update(live, self, {serversKnown(), ownWatchWorks()}, now);
    if (m_role.takeWatchesOutdated())
        checkWatch(m_servers, now);
    if (m_role.watching() == m_wasWatching)
        return;
    m_wasWatching = m_role.watching();
    log.info(m_wasWatching ? "watching the store" : "following other hosts");
    m_evacuations.setWatching(m_wasWatching, now);
    if (m_wasWatching)
        return m_servers.addKnown(m_serverList.ids());
    m_config.stop(now);
    m_servers.stop(now);
    m_loadedFromPeer = m_loadedFromPeer || m_loadedFromStore;
    m_loadedFromStore = false;
}

void PlatformCopy::tick(TimePoint now)
{
    if (m_wasWatching) {
        m_config.tick(now);
        m_servers.tick(now);
    }
    m_evacuations.tick(m_loadedFromStore || m_loadedFromPeer, now);
    m_follower.tick(now);
    m_serverList.tick(now);
    checkStale(now);
}

void PlatformCopy::onServersSynced(bool watched, TimePoint now)
{
    if (!m_servers.mirror().complete())
        return;
    m_loadedFromStore = true;
    m_syncedAt = now;
    m_serversStaleSince = {};
    m_serversVersion = {m_era.newest(), m_servers.mirror().revision()};
    m_serverList.commit(m_serversVersion, watched, now);
}

bool PlatformCopy::onFollowed(const ports::CopyResponse &response, const std::string &address,
                              TimePoint now)
{
    if (observeEra(response.version.era, now) == policy::mirror::EraOrder::Outdated)
        return false;
    m_evacuations.onFollowed(response.evacuatedZones, address, now);
    m_exchange.onReport(address, true, response.configVersion, {}, now);
    if (response.configVersion > version())
        m_newerHost = address;
    m_exchange.tick(now);
    // While this host watches by itself, its own list is as new.
    if (m_wasWatching || response.version < m_serversVersion)
        return true;
    if (!response.changes.empty()) {
        auto entries = nlohmann::json::parse(response.changes, nullptr, false);
        if (entries.is_discarded()) {
            log.warning("malformed server list from=" + address);
            return false;
        }
        m_serverList.applyChanges({response.whole, std::move(entries)}, now);
    }
    m_serversVersion = response.version;
    m_serverList.commit(m_serversVersion, false, now);
    m_loadedFromPeer = true;
    return true;
}

ports::CopyResponse PlatformCopy::handleFollower(const ports::CopyRequest &request,
                                                 TimePoint now) const
{
    ports::CopyResponse response;
    // Without the evacuated zones this host has no copy to follow.
    if (!m_evacuations.known())
        return response;
    response.evacuatedZones = m_evacuations.zones();
    response.version = m_serversVersion;
    response.configVersion = version();
    response.confirmationAge = confirmationAge(now);
    if (request.since > m_serversVersion)
        return response;
    const auto changes = m_serverList.changesSince(request.since, now);
    response.whole = changes.whole;
    if (changes.whole || !changes.entries.empty())
        response.changes = changes.entries.dump();
    return response;
}

core::Millis PlatformCopy::confirmationAge(TimePoint now) const
{
    if (m_wasWatching && m_syncedAt != TimePoint{})
        return std::chrono::ceil<core::Millis>(now - m_syncedAt);
    const auto age = m_role.confirmationAge(now);
    return age ? std::chrono::ceil<core::Millis>(*age) : unconfirmedAge;
}

core::Duration PlatformCopy::configSyncAge(TimePoint now) const
{
    return m_configSyncedAt == TimePoint{} ? unconfirmedAge : now - m_configSyncedAt;
}

policy::mirror::EraOrder PlatformCopy::observeEra(std::optional<std::uint64_t> era, TimePoint now)
{
    const auto order = m_era.observe(era);
    if (order != policy::mirror::EraOrder::Risen)
        return order;
    log.warning("store restored from an older copy era=" + std::to_string(m_era.newest())
                + "; reading everything again");
    m_serverList.onStoreRestored(now);
    if (m_wasWatching) {
        m_config.onStoreRestored(now);
        m_servers.onStoreRestored(now);
        m_evacuations.onStoreRestored(now);
    }
    m_hooks.onStoreRestored(now);
    return order;
}

bool PlatformCopy::storeReached(TimePoint now) const
{
    if (!m_wasWatching)
        return confirmationAge(now) <= policy::mirror::WatchRoleTimings().maxConfirmationAge;
    return !m_config.mirror().failing() && !m_servers.mirror().failing();
}

void PlatformCopy::fillGossip(ports::Gossip &gossip, TimePoint now) const
{
    gossip.confirmationAge = confirmationAge(now);
    gossip.listsVersion.revision = version();
    gossip.storeEra = m_era.newest();
    gossip.fleetRevision = m_serversVersion.revision;
    gossip.serverDigest = m_serverList.digest();
}

void PlatformCopy::onGossip(const ports::Gossip &gossip, const policy::membership::Member &from,
                            TimePoint now)
{
    const auto &address = from.peersAddress;
    if (gossip.storeEra != 0)
        observeEra(gossip.storeEra, now);
    compareServers(gossip, now);
    m_evacuations.onPeerSeen(address);
    const auto reported = gossip.listsVersion.revision;
    const auto delay = m_wasWatching ? watchDelayLimit : followDelayLimit;
    m_exchange.onReport(address, from.zone == m_zone, reported, delay, now);
    if (reported > version())
        m_newerHost = address;
}

void PlatformCopy::compareServers(const ports::Gossip &gossip, TimePoint now)
{
    // The store's revision also rises with other objects, so that a higher one alone says nothing.
    const bool newer = gossip.storeEra == m_serversVersion.era
        && gossip.fleetRevision > m_serversVersion.revision
        && gossip.serverDigest != m_serverList.digest();
    if (newer && m_serversStaleSince == TimePoint{})
        m_serversStaleSince = now;
}

void PlatformCopy::checkServersStale(TimePoint now)
{
    if (!m_wasWatching || m_serversStaleSince == TimePoint{}
        || now - m_serversStaleSince < serversDelayLimit)
        return;
    m_serversStaleSince = {};
    if (m_servers.mirror().failing() || !m_servers.mirror().complete())
        return;
    log.info("peers hold a newer server list own=" + std::to_string(m_serversVersion.revision));
    // The store may have left the watches of all kinds unanswered.
    onWatchSilent(now);
}

void PlatformCopy::checkStale(TimePoint now)
{
    checkServersStale(now);
    m_exchange.tick(now);
    const auto &schedule = m_exchange.schedule();
    if (!schedule.overdue(now) || now < m_staleCheckAt)
        return;
    m_staleCheckAt = now + staleCheckPeriod;
    log.info("peers hold a newer version=" + std::to_string(schedule.newest())
             + " own=" + std::to_string(version())
             + " watch_age_ms=" + std::to_string(core::wholeMillis(configSyncAge(now))));
    // A watch on a connection that delivers no more data would end only at its time-out.
    if (m_wasWatching && !m_config.mirror().failing())
        m_config.checkNow(now);
    if (!serversKnown() && !m_newerHost.empty())
        fetchServers(m_newerHost);
}

void PlatformCopy::fetchServers(const std::string &address)
{
    if (m_serversFetchPending)
        return;
    m_serversFetchPending = true;
    m_peers.call(address, ports::FetchRequest{DocumentKind::Fleet}, fetchTimeout,
                 [this](const ports::PeerResult &result) {
                     m_serversFetchPending = false;
                     if (result.outcome == ports::PeerOutcome::Answered)
                         applyPeerServers(std::get<ports::FetchResponse>(result.response));
                 });
}

void PlatformCopy::applyPeerServers(const ports::FetchResponse &copy)
{
    if (m_loadedFromStore || m_serversVersion.revision != 0)
        return;
    const auto parsed = nlohmann::json::parse(copy.text, nullptr, false);
    if (parsed.is_discarded())
        return log.warning("malformed server list from a peer");
    m_serverList.loadFromPeer(parsed, core::Clock::now());
    m_servers.addKnown(m_serverList.ids());
    m_loadedFromPeer = true;
}

ports::FetchResponse PlatformCopy::handleFetch(DocumentKind kind) const
{
    if (kind == DocumentKind::Lists)
        return m_exchange.handleFetch();
    return {kind, m_serversVersion.revision, m_serverList.toJson().dump()};
}

} // namespace goldcrestline::daemon::forward
