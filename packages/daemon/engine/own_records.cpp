#include "daemon/engine/own_records.h"

#include "adapters/logging/log.h"
#include "daemon/engine/request_record.h"

namespace goldcrestline::daemon::engine {

using core::TimePoint;
using ports::WriteOutcome;

namespace {

constexpr adapters::logging::LogChannel log("records:");

// Time for the news of a restore to reach all hosts and for these to write their records again.
constexpr core::Duration reconciliationTime = std::chrono::seconds(5);
constexpr core::Duration retryInterval = std::chrono::milliseconds(200);

} // namespace

OwnRecords::OwnRecords(HostState &host, ports::PlatformStore &platform)
    : m_host(host), m_platform(platform)
{ }

void OwnRecords::remember(const std::string &name, std::string text, core::WallMillis expiresAt)
{
    m_records[name] = {std::move(text), expiresAt};
}

void OwnRecords::expire(core::WallMillis now)
{
    std::erase_if(m_records, [now](const auto &it) { return it.second.expiresAt <= now; });
}

void OwnRecords::onStoreRestored(TimePoint now)
{
    m_completeAt = now + reconciliationTime;
    m_unwritten.clear();
    for (const auto &it : m_records)
        m_unwritten.push_back(it.first);
    log.warning("store restored from an older copy, writing records again count="
                + std::to_string(m_unwritten.size()));
    writeNext();
}

void OwnRecords::writeNext()
{
    if (m_writing || m_unwritten.empty())
        return;
    const auto name = m_unwritten.front();
    m_unwritten.pop_front();
    const auto it = m_records.find(name);
    if (it == m_records.end())
        return writeNext();
    m_writing = true;
    m_platform.write(name, {}, it->second.text, [this, name](WriteOutcome outcome, core::Version) {
        onWritten(name, outcome);
    });
}

void OwnRecords::onWritten(const std::string &name, WriteOutcome outcome)
{
    m_writing = false;
    if (outcome == WriteOutcome::Conflict)
        return replaceForeign(name);
    if (outcome != WriteOutcome::Written)
        return retryLater(name);
    writeNext();
}

void OwnRecords::replaceForeign(const std::string &name)
{
    m_writing = true;
    m_platform.read(name, [this, name](core::Result<ports::StoredObject> object) {
        m_writing = false;
        if (!object.has_value())
            return retryLater(name);
        const auto own = m_records.find(name);
        const auto record = parseRecord(object.value().text);
        const bool foreign = record && !record->outcome
            && (record->host != m_host.keys->host()
                || record->incarnation != m_host.keys->incarnation());
        if (own == m_records.end() || !foreign)
            return writeNext();
        m_writing = true;
        m_platform.write(name, object.value().version, own->second.text,
                         [this, name](WriteOutcome outcome, core::Version) {
                             m_writing = false;
                             if (outcome != WriteOutcome::Written)
                                 return retryLater(name);
                             writeNext();
                         });
    });
}

void OwnRecords::retryLater(const std::string &name)
{
    m_unwritten.push_back(name);
    m_host.timers.schedule(core::Clock::now() + retryInterval, [this](TimePoint) { writeNext(); });
}

} // namespace goldcrestline::daemon::engine
