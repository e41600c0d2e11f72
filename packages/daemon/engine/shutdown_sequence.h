#pragma once

#include "daemon/engine/host_state.h"
#include "daemon/engine/peer_service.h"
#include "daemon/engine/query_service.h"
#include "daemon/engine/request_service.h"
#include "ports/peer_link.h"

#include <functional>

namespace goldcrestline::daemon::engine {

// Takes a host out of service without cutting a request: it leaves the entry points, serves until
// every answer that named it has expired, hands its ledger over, and ends. Owned by the engine's
// task.
class StopSequence
{
public:
    // `finishConnections` makes callers' connections end with their answers; `ended` is called
    // once. Precondition: all arguments outlive this.
    StopSequence(HostState &host, PeerService &peers, QueryService &queries,
                 RequestService &requests, ports::PeerLink &link,
                 std::function<void()> finishConnections, std::function<void()> ended);

    // Begins; later calls do nothing.
    void begin(core::TimePoint now);

private:
    void afterKept(core::TimePoint now);
    void awaitIdle(core::TimePoint now);
    void handOver(core::TimePoint now);
    void leave(const std::string &successor, core::TimePoint now);

    HostState &m_host;
    PeerService &m_peers;
    QueryService &m_queries;
    RequestService &m_requests;
    ports::PeerLink &m_link;
    std::function<void()> m_finishConnections;
    std::function<void()> m_ended;
    bool m_begun = false;
    core::TimePoint m_giveUpAt{};
    std::size_t m_unadopted = 0;
};

} // namespace goldcrestline::daemon::engine
