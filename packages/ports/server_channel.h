#pragma once

#include "core/clock.h"
#include "core/snapshot_id.h"
#include "policy/routing/server_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

// Port to the backend servers.
namespace goldcrestline::ports {

using CallId = std::uint64_t;

// One sub-request of a query.
struct SearchCall
{
    std::string serverId;
    std::string address;
    std::string queryId;
    int group = 0;
    core::SnapshotId snapshot;
    core::TimePoint deadline;
    std::shared_ptr<const std::string> body;
};

// One request that must not be executed twice.
struct ExecuteCall
{
    std::string serverId;
    std::string address;
    std::string key;
    core::TimePoint deadline;
    std::string body;
};

// Result of a call. The fields after `body` were reported by the server in response headers.
struct ServerResult
{
    policy::routing::AttemptOutcome outcome = policy::routing::AttemptOutcome::Broken;
    bool snapshotMissing = false;
    // False only if it is certain that no byte of the request was sent.
    bool sent = true;
    int status = 0;
    std::string body;
    std::string queryId;
    int group = -1;
    core::SnapshotId snapshot;
    std::uint64_t documents = 0;
    // Snapshots that the server can search.
    std::vector<core::SnapshotId> snapshots;
    // Requests running and waiting at the server; -1 if the server did not report them.
    int load = -1;
    // Requests that the server runs concurrently.
    int slots = 1;
};

using ServerHandler = std::function<void(ServerResult)>;

// Sends calls to backend servers. Methods are called on the owner's event loop; handlers run there.
class ServerChannel
{
public:
    virtual ~ServerChannel() = default;

    // Sends a sub-request. If the response does not repeat the query, group and snapshot of the
    // call, the call ends as Broken and its connection is closed. `done` is called exactly once,
    // also after cancel().
    virtual CallId search(SearchCall call, ServerHandler done) = 0;

    // Sends a request on a new connection, so that no library layer retries it on a pooled one.
    virtual CallId execute(ExecuteCall call, ServerHandler done) = 0;

    // Asks the server to cancel a sub-request. The connection is kept if the server responds
    // within the grace period.
    virtual void cancel(CallId id) = 0;

    // Requests a server's load and the snapshots that it can search.
    virtual void poll(const std::string &serverId, const std::string &address,
                      ServerHandler done) = 0;
};

} // namespace goldcrestline::ports
