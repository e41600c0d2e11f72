#pragma once

#include "adapters/loop/exchange_client.h"
#include "core/clock.h"
#include "policy/forward/backend_table.h"
#include "policy/quarantine/end_check.h"
#include "policy/quarantine/request_content.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestline::daemon::forward {

// A request that was running at a server when the connection ended.
struct Interruption
{
    policy::quarantine::RequestContentPtr content;
    // The caller's id of this arrival of the request.
    std::string requestId;
};

// Finds out which servers ended while they ran requests. Not thread-safe: use only on the event
// loop's thread.
class CrashMonitor
{
public:
    // Preconditions: `backends` and `client` outlive this object, and `client` makes no callback
    // after its destruction.
    CrashMonitor(policy::forward::BackendTable &backends, adapters::loop::ExchangeClient &client);

    // Records that the connection to the server ended during a request, and starts to check the
    // server unless a check is in progress.
    void onInterrupted(const policy::forward::BackendPtr &backend, Interruption interruption,
                       core::TimePoint now);

private:
    // A server process.
    using ProcessKey = std::pair<std::string, core::WallMillis>;

    struct Investigation
    {
        policy::forward::BackendPtr backend;
        policy::quarantine::EndCheck check;
        std::vector<Interruption> interruptions;
    };

    static ProcessKey keyOf(const policy::forward::Backend &backend);
    void connectNext(const ProcessKey &key, core::TimePoint now);
    void onChecked(const ProcessKey &key);

    policy::forward::BackendTable &m_backends;
    adapters::loop::ExchangeClient &m_client;
    std::map<ProcessKey, Investigation> m_investigations;
};

} // namespace goldcrestline::daemon::forward
