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
    auto &newest = m_newest[id];
    const auto startedAt = entry.record.startedAt;
    const bool older = startedAt < newest.startedAt
        || (startedAt == newest.startedAt && entry.sequence < newest.sequence);
    if (older) {
        log.info("older entry left out id=" + id);
        return;
    }
    newest = {startedAt, entry.sequence, spec.dump(), false};
    if (entry.record.leaving)
        log.info("leaving id=" + id + " service=" + entry.record.service);
    m_backends.put(entry.record);
}

void ServerList::onRemoved(const std::string &id)
{
    log.info("removed id=" + id);
    m_backends.remove(id);
    m_newest.erase(id);
}

void ServerList::borrow(const nlohmann::json &copy)
{
    if (!copy.is_object())
        return;
    for (const auto &it : copy.items()) {
        if (m_newest.count(it.key()) != 0)
            continue;
        onObject(it.key(), it.value());
        m_newest[it.key()].borrowed = true;
    }
    log.info("borrowed entries=" + std::to_string(copy.size()));
}

void ServerList::dropBorrowed()
{
    std::vector<std::string> gone;
    for (const auto &it : m_newest) {
        if (it.second.borrowed)
            gone.push_back(it.first);
    }
    for (const auto &it : gone)
        onRemoved(it);
}

nlohmann::json ServerList::copy() const
{
    auto out = nlohmann::json::object();
    for (const auto &it : m_newest) {
        if (!it.second.text.empty())
            out[it.first] = nlohmann::json::parse(it.second.text);
    }
    return out;
}

} // namespace goldcrestline::daemon::forward
