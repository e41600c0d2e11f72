#include "daemon/forward/platform_copy.h"

#include "adapters/logging/log.h"
#include "platform/names.h"
#include "platform/records.h"

#include <algorithm>

namespace goldcrestline::daemon::forward {

using core::TimePoint;
using ports::DocumentKind;

namespace {

constexpr adapters::logging::LogChannel log("copy:");

// Time for a newer version that a peer reported to arrive through this host's own watch, before it
// is fetched from the peer.
constexpr core::Millis watchDelayLimit{400};
constexpr core::Millis fetchTimeout{1000};

} // namespace

PlatformCopy::PlatformCopy(adapters::loop::ExchangeClient &client,
                           policy::forward::BackendTable &backends, ports::PeerLink &peers,
                           core::Duration entryLifetime, Hooks hooks)
    : m_peers(peers), m_hooks(std::move(hooks)), m_serverList(backends, entryLifetime),
      m_config(platform::names::configKind, client, makeMirror(), configHooks()),
      m_servers(platform::names::serversKind, client, makeMirror(), serverHooks())
{ }

policy::mirror::Mirror PlatformCopy::makeMirror()
{
    return {{}, [this] { return 0.5 + m_hooks.random() / 2; }};
}

StoreSync::Hooks PlatformCopy::configHooks()
{
    return {
        [this](const platform::StoreObject &object, TimePoint) {
            if (object.name == platform::names::configName)
                applyConfig(object.spec, "store");
        },
        [](const std::string &name, TimePoint) {
            log.warning("configuration removed name=" + name + "; the last one remains in force");
        },
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
        [this](std::optional<std::uint64_t> era) { return observeEra(era, core::Clock::now()); },
        [this] { return m_hooks.address(); }};
}

void PlatformCopy::applyConfig(const nlohmann::json &spec, const std::string &from)
{
    auto table = platform::decodeConfig(spec);
    if (!table.has_value()) {
        log.error("configuration refused from=" + from + ": " + table.error().text());
        return;
    }
    if (m_table && table.value()->version() <= m_table->version())
        return;
    m_table = std::move(table.value());
    m_configText = spec.dump();
    m_highestVersion = std::max(m_highestVersion, m_table->version());
    log.info("configuration in force version=" + std::to_string(m_table->version())
             + " from=" + from + " routes=" + std::to_string(m_table->routes().size()));
    m_hooks.onRoutes(m_table);
}

void PlatformCopy::tick(TimePoint now)
{
    m_config.tick(now);
    m_servers.tick(now);
    if (!m_loadedFromStore && m_servers.mirror().complete()) {
        m_loadedFromStore = true;
        m_serverList.dropPeerEntries(now);
    }
    m_serverList.tick(now);
    checkStale(now);
}

policy::mirror::EraOrder PlatformCopy::observeEra(std::optional<std::uint64_t> era, TimePoint now)
{
    const auto order = m_era.observe(era);
    if (order != policy::mirror::EraOrder::Risen)
        return order;
    log.warning("store restored from an older copy era=" + std::to_string(m_era.newest())
                + "; reading everything again");
    m_serverList.onStoreRestored(now);
    m_config.onStoreRestored(now);
    m_servers.onStoreRestored(now);
    m_hooks.onStoreRestored(now);
    return order;
}

bool PlatformCopy::storeReached() const
{
    return !m_config.mirror().failing() && !m_servers.mirror().failing();
}

void PlatformCopy::fillGossip(ports::Gossip &gossip) const
{
    gossip.listsVersion.revision = version();
    gossip.storeEra = m_era.newest();
    gossip.fleetRevision = m_servers.mirror().revision();
}

void PlatformCopy::onGossip(const ports::Gossip &gossip, const std::string &address, TimePoint now)
{
    if (gossip.storeEra != 0)
        observeEra(gossip.storeEra, now);
    const auto reported = gossip.listsVersion.revision;
    if (reported <= version())
        return;
    if (m_staleSince == TimePoint{})
        m_staleSince = now;
    if (reported > m_highestVersion || m_highestVersionHost.empty()) {
        m_highestVersion = reported;
        m_highestVersionHost = address;
    }
}

void PlatformCopy::checkStale(TimePoint now)
{
    if (version() >= m_highestVersion) {
        m_staleSince = {};
        return;
    }
    if (m_staleSince == TimePoint{} || now - m_staleSince < watchDelayLimit)
        return;
    m_staleSince = now;
    log.info("peers hold a newer version=" + std::to_string(m_highestVersion)
             + " own=" + std::to_string(version()));
    // A watch on a connection that delivers no more data would end only at its time-out.
    if (!m_config.mirror().failing())
        m_config.restart(now);
    fetch(DocumentKind::Lists);
    if (!m_servers.mirror().complete())
        fetch(DocumentKind::Fleet);
}

void PlatformCopy::fetch(DocumentKind kind)
{
    m_peers.call(m_highestVersionHost, ports::FetchRequest{kind}, fetchTimeout,
                 [this](const ports::PeerResult &result) {
                     if (result.outcome != ports::PeerOutcome::Answered) {
                         // Accept the next host that reports the version.
                         m_highestVersionHost.clear();
                         return;
                     }
                     applyPeerCopy(std::get<ports::FetchResponse>(result.response));
                 });
}

void PlatformCopy::applyPeerCopy(const ports::FetchResponse &copy)
{
    const auto parsed = nlohmann::json::parse(copy.text, nullptr, false);
    if (parsed.is_discarded()) {
        log.warning("malformed copy from a peer");
        return;
    }
    if (copy.kind == DocumentKind::Lists)
        return applyConfig(parsed, "peer");
    if (m_servers.mirror().complete())
        return;
    m_serverList.loadFromPeer(parsed, core::Clock::now());
    m_loadedFromPeer = true;
}

ports::FetchResponse PlatformCopy::handleFetch(DocumentKind kind) const
{
    if (kind == DocumentKind::Lists)
        return {kind, version(), m_configText};
    return {kind, m_servers.mirror().revision(), m_serverList.toJson().dump()};
}

} // namespace goldcrestline::daemon::forward
