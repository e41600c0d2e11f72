#include "daemon/forward/quarantine_sync.h"

#include "adapters/logging/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace goldcrestline::daemon::forward {

using core::TimePoint;
using nlohmann::json;
using policy::quarantine::CrashNote;
using policy::quarantine::Handling;
using ports::DocumentKind;

namespace {

constexpr adapters::logging::LogChannel log("quarantine:");

constexpr std::size_t maxNotesPerMessage = 12;
// Time for new notes to arrive with probes, before all notes of a peer are fetched.
constexpr core::Duration newsTime = std::chrono::milliseconds(1500);
// Longest such time. While crashes go on, the notes of each message are the newest ones only.
constexpr core::Duration maxNewsTime = std::chrono::seconds(5);
constexpr core::Millis fetchTimeout{1000};
// The interval between fetches doubles from the minimum while they bring nothing new.
constexpr core::Duration minFetchInterval = std::chrono::seconds(1);
constexpr core::Duration maxFetchInterval = std::chrono::seconds(60);

json encode(const CrashNote &note)
{
    return {{"request", note.request},
            {"server", note.server.id},
            {"started_at", note.server.startedAt},
            {"repeated", note.repeated},
            {"refuted", note.refuted},
            {"age_ms", note.age.count()},
            {"number", note.number}};
}

CrashNote decode(const json &from)
{
    return {from.at("request").get<std::string>(),
            {from.at("server").get<std::string>(), from.at("started_at").get<core::WallMillis>()},
            from.at("repeated").get<bool>(),
            from.at("refuted").get<bool>(),
            core::Millis(std::max<std::int64_t>(0, from.at("age_ms").get<std::int64_t>())),
            from.value("number", std::uint64_t{0})};
}

} // namespace

void QuarantineSync::fillGossip(ports::Gossip &gossip, TimePoint now) const
{
    gossip.crashes = m_quarantine.news(now, maxNotesPerMessage);
    gossip.crashDigest = m_quarantine.digest();
}

void QuarantineSync::onGossip(const ports::Gossip &gossip, const std::string &address,
                              TimePoint now)
{
    if (!gossip.crashes.empty())
        apply(gossip.crashes, gossip.from, now);
    if (shouldFetch(gossip, now))
        fetch(address, now);
}

bool QuarantineSync::shouldFetch(const ports::Gossip &gossip, TimePoint now)
{
    const auto own = m_quarantine.digest();
    if (gossip.crashDigest == own) {
        m_differentSince = {};
        m_fetchInterval = {};
        return false;
    }
    // The peer fetches from this host.
    if (gossip.crashDigest == 0)
        return false;
    if (m_differentSince == TimePoint{})
        m_differentSince = now;
    const bool changing = now - std::max(m_differentSince, m_quarantine.changedAt()) < newsTime;
    const bool overdue = now - m_differentSince >= maxNewsTime;
    return now >= m_nextFetchAt && (own == 0 || overdue || !changing);
}

void QuarantineSync::fetch(const std::string &address, TimePoint now)
{
    m_fetchInterval = std::clamp(2 * m_fetchInterval, minFetchInterval, maxFetchInterval);
    m_nextFetchAt = now + m_fetchInterval;
    m_peers.call(address, ports::FetchRequest{DocumentKind::Crashes}, fetchTimeout,
                 [this, address](const ports::PeerResult &result) {
                     if (result.outcome == ports::PeerOutcome::Answered) {
                         onFetched(std::get<ports::FetchResponse>(result.response), address,
                                   core::Clock::now());
                     }
                 });
}

void QuarantineSync::onFetched(const ports::FetchResponse &copy, const std::string &address,
                               TimePoint now)
{
    // A host of an earlier version responds with another document.
    if (copy.kind != DocumentKind::Crashes)
        return;
    std::vector<CrashNote> notes;
    try {
        for (const auto &it : json::parse(copy.text))
            notes.push_back(decode(it));
    } catch (const json::exception &error) {
        log.warning("malformed notes from=" + address + ": " + error.what());
        return;
    }
    apply(notes, address, now);
}

void QuarantineSync::apply(const std::vector<CrashNote> &notes, const std::string &from,
                           TimePoint now)
{
    for (const auto &request : m_quarantine.apply(notes, now)) {
        const bool blocked = m_quarantine.handling(request, now) == Handling::Blocked;
        std::string line = blocked ? "request blocked" : "request changed";
        line += " request=" + request + " crashes=" + std::to_string(m_quarantine.crashes(request));
        line += " from=" + from;
        log.info(line);
    }
}

ports::FetchResponse QuarantineSync::handleFetch(TimePoint now) const
{
    auto notes = json::array();
    for (const auto &it : m_quarantine.all(now))
        notes.push_back(encode(it));
    return {DocumentKind::Crashes, 0, notes.dump()};
}

} // namespace goldcrestline::daemon::forward
