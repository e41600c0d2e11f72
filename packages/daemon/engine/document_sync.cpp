#include "daemon/engine/document_sync.h"

#include "adapters/logging/log.h"
#include "core/hash.h"

#include <algorithm>

namespace goldcrestline::daemon::engine {

using core::TimePoint;
using ports::DocumentKind;

namespace {

constexpr adapters::logging::LogChannel log("documents:");

constexpr core::Duration initialBackoff = std::chrono::milliseconds(200);
constexpr core::Duration maxBackoff = std::chrono::seconds(2);
constexpr core::Millis fetchTimeout{1000};

} // namespace

DocumentSync::DocumentSync(HostState &host, ports::PlatformStore &platform, ports::PeerLink &peers,
                           std::function<void(TimePoint)> onFleetUpdate)
    : m_host(host), m_platform(platform), m_peers(peers), m_onFleetUpdate(std::move(onFleetUpdate)),
      m_listsWatch{DocumentKind::Lists, "config/lists", false, {}, {}},
      m_fleetWatch{DocumentKind::Fleet, "fleet/servers", false, {}, {}}
{ }

bool DocumentSync::shouldWatch() const
{
    // Rendezvous hashing: hosts with equal member tables select the same watchers. A table that
    // lacks hosts only adds watchers.
    const auto &self = m_host.members.self();
    const auto ownWeight = core::rendezvousWeight(self.name, "watchers");
    const auto hosts = m_host.members.live();
    const auto higherRanked = std::count_if(hosts.begin(), hosts.end(), [&](const auto &it) {
        // A suspect host may be dead and must not keep others from watching.
        return !it.leaving && it.state == policy::membership::MemberState::Alive
            && core::rendezvousWeight(it.name, "watchers") > ownWeight;
    });
    return higherRanked < m_host.settings->platform.watchers.value;
}

void DocumentSync::tick(TimePoint now)
{
    m_watching = shouldWatch();
    // A host that lacks a document reads it from the platform itself; later revisions come from
    // its peers.
    if (m_watching || !m_host.lists)
        startWatch(m_listsWatch, now);
    if (m_watching || !m_host.fleet)
        startWatch(m_fleetWatch, now);
}

void DocumentSync::startWatch(Watch &watch, TimePoint now)
{
    if (watch.active || now < watch.nextStartAt)
        return;
    watch.active = true;
    const auto version = watch.kind == DocumentKind::Lists ? m_listsVersion : m_fleetVersion;
    m_platform.watch(watch.name, version, m_host.settings->platform.watchMs.millis(),
                     [this, &watch, now](core::Result<ports::StoredObject> object) {
                         onWatchResponse(watch, now, std::move(object));
                     });
}

void DocumentSync::onWatchResponse(Watch &watch, TimePoint sentAt,
                                   core::Result<ports::StoredObject> object)
{
    const auto now = core::Clock::now();
    watch.active = false;
    if (!object.has_value()) {
        watch.backoff = std::min(maxBackoff, std::max(initialBackoff, 2 * watch.backoff));
        watch.nextStartAt = now + watch.backoff;
        return;
    }
    watch.backoff = {};
    const auto &stored = object.value();
    const bool isLists = watch.kind == DocumentKind::Lists;
    if (stored.exists()) {
        auto &version = isLists ? m_listsVersion : m_fleetVersion;
        version = std::max(version, stored.version);
        applyDocument(watch.kind, stored.text, now);
    }
    // Only a response to the watch of the lists proves that no newer lists had been accepted when
    // the watch was sent.
    if (isLists)
        m_host.freshness.onPlatformResponse(sentAt);
    if (!stored.exists() && (isLists ? !m_host.lists : !m_host.fleet))
        watch.nextStartAt = now + initialBackoff;
    if (m_watching)
        startWatch(watch, now);
}

void DocumentSync::onPeerRevisions(const std::string &address, const ports::Gossip &gossip)
{
    if (gossip.storeEra != 0)
        m_platform.observeEra(gossip.storeEra);
    m_host.highestListsVersion = std::max(m_host.highestListsVersion, gossip.listsVersion);
    if (gossip.listsVersion > m_host.listsDocument.version() && !m_fetchingLists) {
        m_fetchingLists = true;
        fetch(address, DocumentKind::Lists);
    }
    if (gossip.fleetRevision > m_host.fleetDocument.version().revision && !m_fetchingFleet) {
        m_fetchingFleet = true;
        fetch(address, DocumentKind::Fleet);
    }
}

void DocumentSync::fetch(const std::string &address, DocumentKind kind)
{
    m_peers.call(address, ports::FetchRequest{kind}, fetchTimeout,
                 [this, kind](const ports::PeerResult &result) {
                     (kind == DocumentKind::Lists ? m_fetchingLists : m_fetchingFleet) = false;
                     if (result.outcome != ports::PeerOutcome::Answered)
                         return;
                     const auto &response = std::get<ports::FetchResponse>(result.response);
                     if (response.revision != 0)
                         applyDocument(kind, response.text, core::Clock::now());
                 });
}

ports::FetchResponse DocumentSync::localCopy(DocumentKind kind) const
{
    const auto &document =
        kind == DocumentKind::Lists ? m_host.listsDocument : m_host.fleetDocument;
    return {kind, document.version().revision, document.text()};
}

void DocumentSync::applyDocument(DocumentKind kind, const std::string &text, TimePoint now)
{
    if (kind == DocumentKind::Lists) {
        applyLists(text);
    } else {
        applyFleet(text, now);
    }
}

void DocumentSync::applyLists(const std::string &text)
{
    auto lists = policy::config::parseLists(text);
    if (!lists.has_value()) {
        log.error("lists refused: " + lists.error().text());
        return;
    }
    const auto version = lists.value().version();
    m_host.highestListsVersion = std::max(m_host.highestListsVersion, version);
    if (!m_host.listsDocument.updateIfNewer(version, text))
        return;
    m_host.lists = std::make_shared<const policy::config::Lists>(std::move(lists.value()));
    log.info("lists in force revision=" + std::to_string(version.revision)
             + " era=" + std::to_string(version.era));
}

void DocumentSync::applyFleet(const std::string &text, TimePoint now)
{
    auto fleet = policy::routing::parseFleet(text);
    if (!fleet.has_value()) {
        log.error("fleet refused: " + fleet.error().text());
        return;
    }
    const auto revision = fleet.value().revision;
    if (!m_host.fleetDocument.updateIfNewer({0, revision}, text))
        return;
    m_host.fleet = std::make_shared<const policy::routing::Fleet>(std::move(fleet.value()));
    log.info("fleet in force revision=" + std::to_string(revision));
    m_onFleetUpdate(now);
}

} // namespace goldcrestline::daemon::engine
