#include "daemon/forward/copy_follower.h"

namespace goldcrestline::daemon::forward {

using core::TimePoint;

namespace {

constexpr core::Millis pollPeriod{700};
// Period until the first copy has been received.
constexpr core::Millis firstPollPeriod{100};
constexpr core::Millis pollTimeout{600};

} // namespace

CopyFollower::CopyFollower(ports::PeerLink &peers, policy::mirror::WatchRole &role, Hooks hooks)
    : m_peers(peers), m_role(role), m_hooks(std::move(hooks))
{ }

void CopyFollower::tick(TimePoint now)
{
    const auto &watchers = m_role.watchers();
    if (m_callPending || now < m_nextPollAt || watchers.empty())
        return;
    m_callPending = true;
    const auto version = m_hooks.version();
    m_nextPollAt = now + (version.revision == 0 ? firstPollPeriod : pollPeriod);
    const auto address = watchers[m_polls++ % watchers.size()];
    m_peers.call(address, ports::CopyRequest{version}, pollTimeout,
                 [this, address, requestedAt = now](const ports::PeerResult &result) {
                     onResult(result, address, requestedAt);
                 });
}

void CopyFollower::onResult(const ports::PeerResult &result, const std::string &address,
                            TimePoint requestedAt)
{
    m_callPending = false;
    const auto now = core::Clock::now();
    if (result.outcome != ports::PeerOutcome::Answered) {
        // The other watcher is asked at once.
        m_nextPollAt = std::min(m_nextPollAt, now + firstPollPeriod);
        return;
    }
    const auto &response = std::get<ports::CopyResponse>(result.response);
    if (response.version.revision == 0)
        return;
    if (m_hooks.onResponse(response, address, now))
        m_role.onConfirmation(response.confirmationAge, requestedAt);
}

} // namespace goldcrestline::daemon::forward
