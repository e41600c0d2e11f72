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

// One request that must not run twice.
struct ExecuteCall
{
    std::string serverId;
    std::string address;
    std::string key;
    core::TimePoint deadline;
    std::string body;
};

// How a call ended. The fields after `status` are what the server said of itself and its part.
struct ServerResult
{
    policy::routing::AttemptOutcome end = policy::routing::AttemptOutcome::Broken;
    bool snapshotMissing = false;
    // False only if it is certain that no byte of the request left this host.
    bool sent = true;
    int status = 0;
    std::string body;
    std::string queryId;
    int group = -1;
    core::SnapshotId snapshot;
    std::uint64_t documents = 0;
    std::vector<core::SnapshotId> holds;
    int load = -1;
    int slots = 1;
};

using ServerHandler = std::function<void(ServerResult)>;

// Carries calls to servers. All methods are called from the owning task; handlers run there.
class ServerChannel
{
public:
    virtual ~ServerChannel() = default;

    // Sends a sub-request. An answer that does not prove the call's query, group and snapshot is
    // dropped as broken and its connection closed. The handler is called exactly once, also after
    // cancel().
    virtual CallId search(SearchCall call, ServerHandler done) = 0;

    // Sends a request on a connection of its own, so that no library layer sends it twice.
    virtual CallId execute(ExecuteCall call, ServerHandler done) = 0;

    // Asks the server to stop a sub-request; the connection survives if the server answers soon.
    virtual void cancel(CallId id) = 0;

    // Asks a server for its load and the snapshots that it holds.
    virtual void poll(const std::string &serverId, const std::string &address,
                      ServerHandler done) = 0;
};

} // namespace goldcrestline::ports
