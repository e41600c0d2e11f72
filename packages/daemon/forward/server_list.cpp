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
    newest = {startedAt, entry.sequence};
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

} // namespace goldcrestline::daemon::forward
