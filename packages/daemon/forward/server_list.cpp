#include "daemon/forward/server_list.h"

#include "adapters/logging/log.h"
#include "core/hash.h"

namespace goldcrestline::daemon::forward {

namespace {

constexpr adapters::logging::LogChannel log("servers:");

constexpr std::size_t maxLoggedChanges = 4000;
// Member that this project adds to an entry in messages between hosts, if the entry is missing
// since an outage.
constexpr const char *missingMember = "goldcrestline_missing";
// Time for which a removal is reported to every host that asks; above the time between its polls.
constexpr core::Duration removalReportTime = std::chrono::seconds(10);

// Returns a hash of the record, without the sequence of its entry, which changes with heartbeats.
std::uint64_t hashOf(const policy::forward::BackendRecord &record)
{
    return core::stableHash(record.id + "/" + record.service + "/" + record.address + "/"
                            + record.zone + "/" + std::to_string(record.startedAt)
                            + (record.leaving ? "/leaving" : ""));
}

} // namespace

void ServerList::onObject(const std::string &id, const nlohmann::json &spec, core::TimePoint now)
{
    const auto decoded = platform::decodeServer(id, spec);
    if (!decoded.has_value()) {
        log.warning("entry refused: " + decoded.error().text());
        m_backends.remove(id);
        return;
    }
    const auto &entry = decoded.value();
    const auto until = m_departed.heldUntil(id, entry.record.startedAt, entry.sequence, now);
    if (!until) {
        m_held.erase(id);
        return apply(entry, spec, now);
    }
    const auto [held, added] = m_held.try_emplace(id, HeldEntry{spec, *until});
    if (added)
        log.info("entry of a removed server held back id=" + id);
    held->second.spec = spec;
}

void ServerList::apply(const platform::ServerEntry &entry, const nlohmann::json &spec,
                       core::TimePoint now)
{
    const auto &id = entry.record.id;
    const auto startedAt = entry.record.startedAt;
    m_departed.onReturned(id);
    // An outdated entry too shows that the store lists the server.
    if (m_missing.erase(id) != 0) {
        m_backends.setMissing(id, false);
        m_uncommitted.insert(id);
    }
    auto &latest = m_latest[id];
    const bool outdated = startedAt < latest.startedAt
        || (startedAt == latest.startedAt && entry.sequence < latest.sequence);
    if (outdated) {
        log.info("outdated entry ignored id=" + id);
        return;
    }
    auto text = spec.dump();
    if (text != latest.text)
        m_uncommitted.insert(id);
    m_digest ^= latest.hash;
    latest = {startedAt, entry.sequence, std::move(text), hashOf(entry.record)};
    m_digest ^= latest.hash;
    if (entry.record.leaving)
        log.info("leaving id=" + id + " service=" + entry.record.service);
    m_backends.put(entry.record);
    m_backends.setWarmup(id, entry.record.warmup, now);
}

void ServerList::onRemoved(const std::string &id, core::TimePoint now)
{
    log.info("removed id=" + id);
    m_backends.remove(id);
    m_held.erase(id);
    m_missing.erase(id);
    const auto it = m_latest.find(id);
    if (it == m_latest.end())
        return;
    m_departed.onRemoved(id, it->second.startedAt, it->second.sequence, now);
    m_digest ^= it->second.hash;
    m_latest.erase(it);
    m_uncommitted.insert(id);
    m_recentRemovals.push_back({id, now});
}

void ServerList::onStoreRestored(core::TimePoint now)
{
    m_departed.onStoreRestored(now);
    m_held.clear();
}

void ServerList::onMissing(const std::string &id)
{
    log.info("entry missing since an outage id=" + id);
    markMissing(id);
}

void ServerList::markMissing(const std::string &id)
{
    if (m_latest.count(id) == 0 || !m_missing.insert(id).second)
        return;
    m_uncommitted.insert(id);
    m_backends.setMissing(id, true);
}

void ServerList::tick(core::TimePoint now)
{
    for (auto it = m_held.begin(); it != m_held.end();) {
        if (now < it->second.until) {
            ++it;
            continue;
        }
        // Decodable, since only decoded entries are held back.
        const auto entry = platform::decodeServer(it->first, it->second.spec);
        apply(entry.value(), it->second.spec, now);
        it = m_held.erase(it);
    }
}

void ServerList::loadFromPeer(const nlohmann::json &copy, core::TimePoint now)
{
    if (!copy.is_object())
        return;
    for (const auto &it : copy.items()) {
        if (m_latest.count(it.key()) != 0)
            continue;
        applyPeerEntry(it.key(), it.value(), now);
    }
    log.info("loaded from a peer entries=" + std::to_string(copy.size()));
}

std::vector<std::string> ServerList::ids() const
{
    std::vector<std::string> out;
    for (const auto &it : m_latest)
        out.push_back(it.first);
    return out;
}

nlohmann::json ServerList::toJson() const
{
    auto out = nlohmann::json::object();
    for (const auto &it : m_latest) {
        if (!it.second.text.empty())
            out[it.first] = entryForPeers(it.first);
    }
    return out;
}

void ServerList::commit(core::Version version, bool eachChange, core::TimePoint now)
{
    while (!m_recentRemovals.empty()
           && now - m_recentRemovals.front().removedAt > removalReportTime)
        m_recentRemovals.pop_front();
    if (!eachChange || version.era != m_version.era) {
        m_log.clear();
        m_logStart = version;
    } else {
        for (const auto &it : m_uncommitted)
            m_log.push_back({version, it});
    }
    m_uncommitted.clear();
    m_version = version;
    while (m_log.size() > maxLoggedChanges) {
        m_logStart = m_log.front().version;
        m_log.pop_front();
    }
}

nlohmann::json ServerList::entryForPeers(const std::string &id) const
{
    const auto it = m_latest.find(id);
    if (it == m_latest.end() || it->second.text.empty())
        return {};
    auto entry = nlohmann::json::parse(it->second.text);
    if (m_missing.count(id) != 0)
        entry[missingMember] = true;
    return entry;
}

void ServerList::applyPeerEntry(const std::string &id, nlohmann::json entry, core::TimePoint now)
{
    const bool missing = entry.is_object() && entry.erase(missingMember) != 0;
    onObject(id, entry, now);
    if (missing)
        markMissing(id);
}

ServerList::Changes ServerList::changesSince(core::Version since, core::TimePoint now) const
{
    Changes changes;
    changes.whole = since.era != m_version.era || since < m_logStart;
    if (changes.whole) {
        changes.entries = toJson();
        return changes;
    }
    changes.entries = nlohmann::json::object();
    for (const auto &it : m_log) {
        if (it.version > since)
            changes.entries[it.id] = entryForPeers(it.id);
    }
    for (const auto &it : m_recentRemovals) {
        if (now - it.removedAt <= removalReportTime && m_latest.count(it.id) == 0)
            changes.entries[it.id] = nullptr;
    }
    return changes;
}

void ServerList::applyChanges(const Changes &changes, core::TimePoint now)
{
    if (!changes.entries.is_object())
        return;
    std::vector<std::string> removed;
    if (changes.whole) {
        for (const auto &it : m_latest) {
            if (!changes.entries.contains(it.first))
                removed.push_back(it.first);
        }
        std::erase_if(m_held, [&](const auto &it) { return !changes.entries.contains(it.first); });
    }
    for (const auto &it : changes.entries.items()) {
        if (it.value().is_null()) {
            if (m_latest.count(it.key()) != 0 || m_held.count(it.key()) != 0)
                removed.push_back(it.key());
            continue;
        }
        // An entry that another watcher has removed, and this one keeps as missing, is held back.
        applyPeerEntry(it.key(), it.value(), now);
    }
    for (const auto &it : removed)
        onRemoved(it, now);
}

} // namespace goldcrestline::daemon::forward
