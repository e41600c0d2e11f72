#include "daemon/forward/crash_monitor.h"

#include "adapters/logging/log.h"

namespace goldcrestline::daemon::forward {

using core::TimePoint;
using policy::quarantine::EndCheck;

namespace {

constexpr adapters::logging::LogChannel log("crash:");

// Other servers that are tried to find out whether this host reaches any.
constexpr std::size_t maxComparedServers = 3;

} // namespace

CrashMonitor::CrashMonitor(policy::forward::BackendTable &backends,
                           adapters::loop::ExchangeClient &client)
    : m_backends(backends), m_client(client)
{ }

CrashMonitor::ProcessKey CrashMonitor::keyOf(const policy::forward::Backend &backend)
{
    return {backend.record.id, backend.record.startedAt};
}

void CrashMonitor::onInterrupted(const policy::forward::BackendPtr &backend,
                                 Interruption interruption, TimePoint now)
{
    const auto key = keyOf(*backend);
    const auto it = m_investigations.find(key);
    if (it != m_investigations.end()) {
        it->second.interruptions.push_back(std::move(interruption));
        return;
    }
    EndCheck check(backend->record.address,
                   m_backends.otherAddresses(*backend, maxComparedServers));
    m_investigations.emplace(
        key, Investigation{backend, std::move(check), {std::move(interruption)}});
    connectNext(key, now);
}

void CrashMonitor::connectNext(const ProcessKey &key, TimePoint now)
{
    const auto address = m_investigations.at(key).check.nextAddress();
    if (!address)
        return onChecked(key);
    m_client.checkConnect(*address, now, [this, key](core::ConnectOutcome outcome) {
        m_investigations.at(key).check.onConnect(outcome);
        connectNext(key, core::Clock::now());
    });
}

void CrashMonitor::onChecked(const ProcessKey &key)
{
    const auto done = std::move(m_investigations.extract(key).mapped());
    const auto &record = done.backend->record;
    const auto state = done.check.result();
    for (const auto &it : done.interruptions) {
        log.info("connection ended during a request id=" + it.requestId + " request="
                 + it.content->digest() + " server=" + record.id + " service=" + record.service
                 + " state="
                 + std::string(core::nameIn(policy::quarantine::serverStateNames, state)));
    }
}

} // namespace goldcrestline::daemon::forward
