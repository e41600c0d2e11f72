#include "daemon/engine/shutdown_sequence.h"

#include "adapters/logging/log.h"
#include "core/hash.h"

#include <algorithm>

namespace goldcrestline::daemon::engine {

using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("stop:");

// Time for gossip to tell every host that this one is leaving. Until then other hosts still list it
// as an entry point, so callers may cache it for one TTL beyond this time.
constexpr core::Duration leavingPropagationTime = std::chrono::milliseconds(1500);
constexpr core::Duration idleCheckPeriod = std::chrono::milliseconds(20);
// Time for the last gossip to be sent before the event loop stops.
constexpr core::Duration exitDelay = std::chrono::milliseconds(300);
constexpr core::Millis adoptTimeout{2000};

} // namespace

ShutdownSequence::ShutdownSequence(HostState &host, PeerService &peers, QueryService &queries,
                                   RequestService &requests, ports::PeerLink &link,
                                   std::function<void()> disableKeepAlive,
                                   std::function<void()> onShutdownComplete)
    : m_host(host), m_peers(peers), m_queries(queries), m_requests(requests), m_link(link),
      m_disableKeepAlive(std::move(disableKeepAlive)),
      m_onShutdownComplete(std::move(onShutdownComplete))
{ }

void ShutdownSequence::start(TimePoint now)
{
    if (m_started)
        return;
    m_started = true;
    log.info("withdrawing from the entry points");
    m_host.members.setLeaving();
    m_peers.exchangeWithAll(now);
    m_drainDeadline = now + m_host.settings->callers.stopMs.millis();
    const auto entryPointTtl = m_host.settings->callers.keepMs.millis();
    m_host.timers.schedule(now + leavingPropagationTime + entryPointTtl,
                           [this](TimePoint at) { onEntryPointTtlExpired(at); });
}

void ShutdownSequence::onEntryPointTtlExpired(TimePoint now)
{
    log.info("entry points expired, closing callers' connections after their responses");
    m_disableKeepAlive();
    m_requests.seal();
    awaitIdle(now);
}

void ShutdownSequence::awaitIdle(TimePoint now)
{
    const auto running = m_queries.running() + m_requests.running();
    if (running == 0 || now >= m_drainDeadline)
        return handOverLedgers(now);
    m_host.timers.schedule(now + idleCheckPeriod, [this](TimePoint at) { awaitIdle(at); });
}

void ShutdownSequence::handOverLedgers(TimePoint now)
{
    auto hosts = m_host.members.live();
    const auto &self = m_host.members.self();
    std::erase_if(hosts, [&](const auto &it) {
        return it.name == self.name || it.leaving
            || it.state != policy::membership::MemberState::Alive;
    });
    if (hosts.empty())
        return announceLeft("", now);
    const auto successor =
        *std::max_element(hosts.begin(), hosts.end(), [&](const auto &a, const auto &b) {
            return core::rendezvousWeight(a.name, self.name)
                < core::rendezvousWeight(b.name, self.name);
        });
    auto requests = m_requests.handover();
    m_pendingAdoptions = requests.size();
    for (auto &it : requests) {
        m_link.call(successor.peersAddress, std::move(it), adoptTimeout,
                    [this, name = successor.name](const ports::PeerResult &result) {
                        const bool adopted = result.outcome == ports::PeerOutcome::Answered
                            && std::get<ports::AdoptResponse>(result.response).adopted;
                        if (!adopted)
                            log.warning("a ledger was not adopted by host=" + name);
                        if (--m_pendingAdoptions == 0)
                            announceLeft(adopted ? name : "", core::Clock::now());
                    });
    }
}

void ShutdownSequence::announceLeft(const std::string &successor, TimePoint now)
{
    log.info("left the cluster successor=" + (successor.empty() ? "none" : successor));
    m_host.members.setLeft(successor);
    m_peers.exchangeWithAll(now);
    m_host.timers.schedule(now + exitDelay, [this](TimePoint) { m_onShutdownComplete(); });
}

} // namespace goldcrestline::daemon::engine
