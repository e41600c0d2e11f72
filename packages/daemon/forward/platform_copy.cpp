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

// Time for which a newer version that a peer told of may take to arrive by the own watch.
constexpr core::Millis newsPatience{400};
constexpr core::Millis fetchTime{1000};

} // namespace

PlatformCopy::PlatformCopy(adapters::loop::ExchangeClient &client,
                           policy::forward::BackendTable &backends, ports::PeerLink &peers,
                           Hooks hooks)
    : m_peers(peers), m_hooks(std::move(hooks)), m_serverList(backends),
      m_config(platform::names::configKind, client, makeMirror(), configHooks()),
      m_servers(platform::names::serversKind, client, makeMirror(), serverHooks())
{ }

policy::mirror::Mirror PlatformCopy::makeMirror()
{
    return {{}, [this] { return 0.5 + m_hooks.random() / 2; }};
}

StoreSync::Hooks PlatformCopy::configHooks()
{
    return {[this](const platform::StoreObject &object, TimePoint) {
                if (object.name == platform::names::configName)
                    takeConfig(object.spec, "store");
            },
            [](const std::string &name, TimePoint) {
                log.warning("configuration removed name=" + name + "; the last one stays");
            },
            [this] { return m_hooks.address(); }};
}

StoreSync::Hooks PlatformCopy::serverHooks()
{
    return {[this](const platform::StoreObject &object, TimePoint) {
                m_serverList.onObject(object.name, object.spec);
            },
            [this](const std::string &name, TimePoint) { m_serverList.onRemoved(name); },
            [this] { return m_hooks.address(); }};
}

void PlatformCopy::takeConfig(const nlohmann::json &spec, const std::string &from)
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
    if (!m_listed && m_servers.mirror().complete()) {
        m_listed = true;
        m_serverList.dropBorrowed();
    }
    checkBehind(now);
}

bool PlatformCopy::storeReached() const
{
    return !m_config.mirror().failing() && !m_servers.mirror().failing();
}

void PlatformCopy::describe(ports::Gossip &gossip) const
{
    gossip.listsRevision = version();
    gossip.fleetRevision = m_servers.mirror().revision();
}

void PlatformCopy::takeNews(const ports::Gossip &news, const std::string &address, TimePoint now)
{
    if (news.listsRevision <= version())
        return;
    if (m_behindSince == TimePoint{})
        m_behindSince = now;
    if (news.listsRevision > m_highestVersion || m_teller.empty()) {
        m_highestVersion = news.listsRevision;
        m_teller = address;
    }
}

void PlatformCopy::checkBehind(TimePoint now)
{
    if (version() >= m_highestVersion) {
        m_behindSince = {};
        return;
    }
    if (m_behindSince == TimePoint{} || now - m_behindSince < newsPatience)
        return;
    m_behindSince = now;
    log.info("peers hold a newer version=" + std::to_string(m_highestVersion)
             + " own=" + std::to_string(version()));
    // A watch whose connection went silent fails only by time.
    if (!m_config.mirror().failing())
        m_config.onBehind(now);
    fetch(DocumentKind::Lists);
    if (!m_servers.mirror().complete())
        fetch(DocumentKind::Fleet);
}

void PlatformCopy::fetch(DocumentKind kind)
{
    m_peers.call(m_teller, ports::FetchRequest{kind}, fetchTime,
                 [this](const ports::PeerResult &result) {
                     if (result.outcome != ports::PeerOutcome::Answered) {
                         // Another host may tell of it next.
                         m_teller.clear();
                         return;
                     }
                     takeCopy(std::get<ports::FetchResponse>(result.response));
                 });
}

void PlatformCopy::takeCopy(const ports::FetchResponse &copy)
{
    const auto parsed = nlohmann::json::parse(copy.text, nullptr, false);
    if (parsed.is_discarded()) {
        log.warning("unreadable copy from a peer");
        return;
    }
    if (copy.kind == DocumentKind::Lists)
        return takeConfig(parsed, "peer");
    if (m_servers.mirror().complete())
        return;
    m_serverList.borrow(parsed);
    m_borrowed = true;
}

ports::FetchResponse PlatformCopy::answer(DocumentKind kind) const
{
    if (kind == DocumentKind::Lists)
        return {kind, version(), m_configText};
    return {kind, m_servers.mirror().revision(), m_serverList.copy().dump()};
}

} // namespace goldcrestline::daemon::forward
