#pragma once

#include "daemon/engine/host_state.h"
#include "daemon/engine/peer_service.h"
#include "daemon/engine/query_service.h"
#include "daemon/engine/request_service.h"
#include "ports/peer_link.h"

#include <functional>

namespace goldcrestline::daemon::engine {

// Graceful shutdown of a host without aborting requests: withdraws from the entry points, serves
// until every cached list of entry points that names it has expired, hands its ledgers over to
// another host, and ends. Not thread-safe: runs on the engine's event loop.
class ShutdownSequence
{
public:
    // `disableKeepAlive` makes every further response close its caller's connection.
    // `onShutdownComplete` is called once. Precondition: all arguments outlive this.
    ShutdownSequence(HostState &host, PeerService &peers, QueryService &queries,
                     RequestService &requests, ports::PeerLink &link,
                     std::function<void()> disableKeepAlive,
                     std::function<void()> onShutdownComplete);

    // Starts the shutdown; further calls have no effect.
    void start(core::TimePoint now);

private:
    void onEntryPointTtlExpired(core::TimePoint now);
    void awaitIdle(core::TimePoint now);
    void handOverLedgers(core::TimePoint now);
    void announceLeft(const std::string &successor, core::TimePoint now);

    HostState &m_host;
    PeerService &m_peers;
    QueryService &m_queries;
    RequestService &m_requests;
    ports::PeerLink &m_link;
    std::function<void()> m_disableKeepAlive;
    std::function<void()> m_onShutdownComplete;
    bool m_started = false;
    core::TimePoint m_drainDeadline{};
    std::size_t m_pendingAdoptions = 0;
};

} // namespace goldcrestline::daemon::engine
