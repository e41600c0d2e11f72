#include "daemon/forward/crash_monitor.h"

#include "adapters/logging/log.h"

#include <algorithm>
#include <utility>

namespace goldcrestline::daemon::forward {

using core::TimePoint;
using policy::quarantine::EndCheck;
using policy::quarantine::Handling;
using policy::quarantine::ServerProcess;
using policy::quarantine::ServerState;

namespace {

constexpr adapters::logging::LogChannel log("crash:");

// Other servers that are tried to find out whether this host reaches any.
constexpr std::size_t maxComparedServers = 6;
// Longest time for which a call waits for the state of the server that interrupted it: a few round
// trips between zones.
constexpr core::Millis maxHoldTime{30};
// Interval between checks of a server whose state is not known.
constexpr core::Duration recheckInterval = std::chrono::milliseconds(250);
// Time for which an interruption without a result is remembered, in case the server turns out to
// have ended.
constexpr core::Duration undecidedTime = std::chrono::seconds(5);

} // namespace

CrashMonitor::CrashMonitor(policy::forward::BackendTable &backends,
                           adapters::loop::ExchangeClient &client,
                           policy::quarantine::RequestQuarantine &quarantine,
                           std::function<void()> onRecorded)
    : m_backends(backends), m_client(client), m_quarantine(quarantine),
      m_onRecorded(std::move(onRecorded))
{ }

ServerProcess CrashMonitor::processOf(const policy::forward::Backend &backend)
{
    return {backend.record.id, backend.record.startedAt};
}

void CrashMonitor::onInterrupted(const policy::forward::BackendPtr &backend,
                                 Interruption interruption, TimePoint now)
{
    const auto [it, added] = m_investigations.try_emplace(
        processOf(*backend), Investigation{backend, {}, EndCheck({}, {}), false, now});
    it->second.lastInterruptedAt = now;
    interruption.at = now;
    it->second.interruptions.push_back(std::move(interruption));
    startCheck(it->second, now);
}

void CrashMonitor::startCheck(Investigation &investigation, TimePoint now)
{
    if (std::exchange(investigation.checking, true))
        return;
    const auto &backend = *investigation.backend;
    investigation.check =
        EndCheck(backend.record.address,
                 m_backends.sampleAddresses(backend.record.address, maxComparedServers, now));
    connectNext(processOf(backend), now);
}

void CrashMonitor::connectNext(const ServerProcess &process, TimePoint now)
{
    const auto it = m_investigations.find(process);
    if (it == m_investigations.end())
        return;
    const auto address = it->second.check.nextAddress();
    if (!address)
        return onChecked(process, now);
    m_client.checkConnect(*address, now, [this, process](core::ConnectOutcome outcome) {
        const auto found = m_investigations.find(process);
        if (found == m_investigations.end())
            return;
        found->second.check.onConnect(outcome);
        connectNext(process, core::Clock::now());
    });
}

void CrashMonitor::onChecked(const ServerProcess &process, TimePoint now)
{
    auto &investigation = m_investigations.at(process);
    investigation.checking = false;
    const auto state = investigation.check.result();
    logState(investigation, state);
    if (state == ServerState::Ended)
        return onEnded(process, now);
    investigation.recheckAt =
        state == ServerState::Unknown ? now + recheckInterval : TimePoint::max();
    resumeAll(investigation.interruptions, state, now);
}

void CrashMonitor::onEnded(const ServerProcess &process, TimePoint now)
{
    auto ended = std::move(m_investigations.extract(process).mapped());
    for (const auto &it : ended.interruptions)
        recordCrash(it, process, now);
    resumeAll(ended.interruptions, ServerState::Ended, now);
}

void CrashMonitor::recordCrash(const Interruption &interruption, const ServerProcess &process,
                               TimePoint now)
{
    std::size_t crashes = 0;
    bool added = false;
    for (const auto &it : interruption.digests) {
        added |= m_quarantine.onCrash(it, process, interruption.sentAt, now);
        crashes = std::max(crashes, m_quarantine.crashes(it));
    }
    if (!added)
        return;
    m_onRecorded();
    log.info("server ended while it ran a request id=" + interruption.requestId
             + " request=" + interruption.digests.back() + " server=" + process.id
             + " crashes=" + std::to_string(crashes));
    if (m_quarantine.handling(interruption.digests, now) == Handling::Blocked)
        log.warning("request blocked request=" + interruption.digests.back());
}

void CrashMonitor::logState(const Investigation &investigation, ServerState state)
{
    const auto &record = investigation.backend->record;
    for (const auto &it : investigation.interruptions) {
        log.info("connection ended during a request id=" + it.requestId
                 + " request=" + it.digests.back() + " server=" + record.id
                 + " service=" + record.service + " state="
                 + std::string(core::nameIn(policy::quarantine::serverStateNames, state)));
    }
}

void CrashMonitor::resumeAll(std::vector<Interruption> &interruptions, ServerState state,
                             TimePoint now)
{
    std::vector<std::function<void(ServerState, TimePoint)>> waiting;
    for (auto &it : interruptions) {
        if (it.resume)
            waiting.push_back(std::exchange(it.resume, nullptr));
    }
    // Last, because a resumed call may send a request whose failure changes the investigations.
    for (const auto &it : waiting)
        it(state, now);
}

void CrashMonitor::onNotReached(const policy::forward::Backend &backend, TimePoint now)
{
    const auto it = m_investigations.find(processOf(backend));
    if (it != m_investigations.end())
        startCheck(it->second, now);
}

void CrashMonitor::onMisdirected(const policy::forward::Backend &backend, TimePoint now)
{
    const auto it = m_investigations.find(processOf(backend));
    if (it == m_investigations.end())
        return;
    logState(it->second, ServerState::Ended);
    onEnded(processOf(backend), now);
}

void CrashMonitor::tick(TimePoint now)
{
    std::vector<std::function<void(ServerState, TimePoint)>> waiting;
    for (auto &investigation : m_investigations) {
        for (auto &it : investigation.second.interruptions) {
            if (it.resume && now >= it.at + maxHoldTime)
                waiting.push_back(std::exchange(it.resume, nullptr));
        }
    }
    std::erase_if(m_investigations, [&](const auto &it) {
        return !it.second.checking && now >= it.second.lastInterruptedAt + undecidedTime;
    });
    for (auto &it : m_investigations) {
        if (!it.second.checking && now >= it.second.recheckAt)
            startCheck(it.second, now);
    }
    for (const auto &it : waiting)
        it(ServerState::Unknown, now);
}

TimePoint CrashMonitor::nextTickAt() const
{
    auto next = TimePoint::max();
    for (const auto &investigation : m_investigations) {
        for (const auto &it : investigation.second.interruptions) {
            if (it.resume)
                next = std::min(next, it.at + maxHoldTime);
        }
    }
    return next;
}

} // namespace goldcrestline::daemon::forward
