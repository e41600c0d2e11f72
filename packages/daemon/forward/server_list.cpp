#include "daemon/forward/server_list.h"

#include "adapters/logging/log.h"

namespace goldcrestline::daemon::forward {

namespace {

constexpr adapters::logging::LogChannel log("servers:");

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
    const auto startedAt = entry.record.startedAt;
    m_held.erase(id);
    if (m_departed.isHeld(id, startedAt, now)) {
        log.info("restored entry of a removed server held back id=" + id);
        m_held[id] = spec;
        return;
    }
    auto &latest = m_latest[id];
    const bool outdated = startedAt < latest.startedAt
        || (startedAt == latest.startedAt && entry.sequence < latest.sequence);
    if (outdated) {
        log.info("outdated entry ignored id=" + id);
        return;
    }
    latest = {startedAt, entry.sequence, spec.dump(), false};
    if (entry.record.leaving)
        log.info("leaving id=" + id + " service=" + entry.record.service);
    m_backends.put(entry.record);
}

void ServerList::onRemoved(const std::string &id, core::TimePoint now)
{
    log.info("removed id=" + id);
    m_backends.remove(id);
    m_held.erase(id);
    const auto it = m_latest.find(id);
    if (it == m_latest.end())
        return;
    m_departed.onRemoved(id, it->second.startedAt, now);
    m_latest.erase(it);
}

void ServerList::tick(core::TimePoint now)
{
    if (m_held.empty())
        return;
    // Entries that are still held back return to the map.
    const auto held = std::exchange(m_held, {});
    for (const auto &it : held)
        onObject(it.first, it.second, now);
}

void ServerList::loadFromPeer(const nlohmann::json &copy, core::TimePoint now)
{
    if (!copy.is_object())
        return;
    for (const auto &it : copy.items()) {
        if (m_latest.count(it.key()) != 0)
            continue;
        onObject(it.key(), it.value(), now);
        const auto added = m_latest.find(it.key());
        if (added != m_latest.end())
            added->second.fromPeer = true;
    }
    log.info("loaded from a peer entries=" + std::to_string(copy.size()));
}

void ServerList::dropPeerEntries(core::TimePoint now)
{
    std::vector<std::string> ids;
    for (const auto &it : m_latest) {
        if (it.second.fromPeer)
            ids.push_back(it.first);
    }
    for (const auto &it : ids)
        onRemoved(it, now);
}

nlohmann::json ServerList::toJson() const
{
    auto out = nlohmann::json::object();
    for (const auto &it : m_latest) {
        if (!it.second.text.empty())
            out[it.first] = nlohmann::json::parse(it.second.text);
    }
    return out;
}

} // namespace goldcrestline::daemon::forward
