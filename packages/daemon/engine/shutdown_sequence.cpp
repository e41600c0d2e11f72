#include "daemon/engine/stop_sequence.h"

#include "adapters/logging/log.h"
#include "core/hash.h"

#include <algorithm>

namespace goldcrestline::daemon::engine {

using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("stop:");

// Time for the news of leaving to reach every host before the kept answers run out.
constexpr core::Duration spreadTime = std::chrono::milliseconds(1500);
constexpr core::Duration idleCheck = std::chrono::milliseconds(20);
constexpr core::Duration farewell = std::chrono::milliseconds(300);
constexpr core::Millis adoptTimeout{2000};

} // namespace

StopSequence::StopSequence(HostState &host, PeerService &peers, QueryService &queries,
                           RequestService &requests, ports::PeerLink &link,
                           std::function<void()> finishConnections, std::function<void()> ended)
    : m_host(host), m_peers(peers), m_queries(queries), m_requests(requests), m_link(link),
      m_finishConnections(std::move(finishConnections)), m_ended(std::move(ended))
{ }

void StopSequence::begin(TimePoint now)
{
    if (m_begun)
        return;
    m_begun = true;
    log.info("leaving the entry points");
    m_host.members.setLeaving();
    m_peers.exchangeWithAll(now);
    m_giveUpAt = now + m_host.settings->callers.stopMs.millis();
    const auto keep = m_host.settings->callers.keepMs.millis();
    m_host.timers.at(now + spreadTime + keep, [this](TimePoint at) { afterKept(at); });
}

void StopSequence::afterKept(TimePoint now)
{
    log.info("ending connections");
    m_finishConnections();
    m_requests.seal();
    awaitIdle(now);
}

void StopSequence::awaitIdle(TimePoint now)
{
    const auto running = m_queries.running() + m_requests.running();
    if (running == 0 || now >= m_giveUpAt)
        return handOver(now);
    m_host.timers.at(now + idleCheck, [this](TimePoint at) { awaitIdle(at); });
}

void StopSequence::handOver(TimePoint now)
{
    auto hosts = m_host.members.live();
    const auto &self = m_host.members.self();
    std::erase_if(hosts, [&](const auto &it) {
        return it.name == self.name || it.leaving
            || it.state != policy::membership::MemberState::Alive;
    });
    if (hosts.empty())
        return leave("", now);
    const auto successor =
        *std::max_element(hosts.begin(), hosts.end(), [&](const auto &a, const auto &b) {
            return core::rendezvousWeight(a.name, self.name)
                < core::rendezvousWeight(b.name, self.name);
        });
    auto requests = m_requests.handover();
    m_unadopted = requests.size();
    for (auto &it : requests) {
        m_link.call(successor.peersAddress, std::move(it), adoptTimeout,
                    [this, name = successor.name](const ports::PeerResult &result) {
                        const bool adopted = result.end == ports::PeerEnd::Answered
                            && std::get<ports::AdoptAnswer>(result.answer).adopted;
                        if (!adopted)
                            log.warning("a ledger was not adopted by host=" + name);
                        if (--m_unadopted == 0)
                            leave(adopted ? name : "", core::Clock::now());
                    });
    }
}

void StopSequence::leave(const std::string &successor, TimePoint now)
{
    log.info("left successor=" + (successor.empty() ? "none" : successor));
    m_host.members.setLeft(successor);
    m_peers.exchangeWithAll(now);
    m_host.timers.at(now + farewell, [this](TimePoint) { m_ended(); });
}

} // namespace goldcrestline::daemon::engine
