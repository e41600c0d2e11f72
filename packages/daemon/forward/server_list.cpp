#include "daemon/forward/server_list.h"

#include "adapters/logging/log.h"

#include <nlohmann/json.hpp>

namespace goldcrestline::daemon::forward {

namespace {

constexpr adapters::logging::LogChannel log("servers:");

} // namespace

void ServerList::onObject(const std::string &id, const nlohmann::json &spec)
{
    const auto decoded = platform::decodeServer(id, spec);
    if (!decoded.has_value()) {
        log.warning("entry refused: " + decoded.error().text());
        m_backends.remove(id);
        return;
    }
    const auto &entry = decoded.value();
    auto &latest = m_latest[id];
    const auto startedAt = entry.record.startedAt;
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

void ServerList::onRemoved(const std::string &id)
{
    log.info("removed id=" + id);
    m_backends.remove(id);
    m_latest.erase(id);
}

void ServerList::loadFromPeer(const nlohmann::json &copy)
{
    if (!copy.is_object())
        return;
    for (const auto &it : copy.items()) {
        if (m_latest.count(it.key()) != 0)
            continue;
        onObject(it.key(), it.value());
        m_latest[it.key()].fromPeer = true;
    }
    log.info("loaded from a peer entries=" + std::to_string(copy.size()));
}

void ServerList::dropPeerEntries()
{
    std::vector<std::string> ids;
    for (const auto &it : m_latest) {
        if (it.second.fromPeer)
            ids.push_back(it.first);
    }
    for (const auto &it : ids)
        onRemoved(it);
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
