#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "core/snapshot_id.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// The platform's list of backend servers and of the services' snapshots.
namespace goldcrestline::policy::routing {

// One backend server as listed by the platform.
struct ServerRecord
{
    std::string id;
    std::string zone;
    std::string address;
    int group = 0;
    // Wall-clock start of the server process; increases with each restart.
    core::WallMillis startedAt = 0;
    // Connections that the server accepts from all hosts in total.
    int connections = 1;
    // The server is being removed and accepts no new requests.
    bool leaving = false;
};

// One snapshot of an index: its id and the number of documents in each group (shard).
struct Snapshot
{
    core::SnapshotId id;
    std::map<int, std::uint64_t> documentsByGroup;

    // Returns the number of documents in all groups. Thread-safe.
    std::uint64_t documents() const;
};

// One service: a sharded index, or replicated servers that each handle a complete request.
struct ServiceRecord
{
    bool sharded = true;
    std::vector<ServerRecord> servers;
    // Ascending by id.
    std::vector<Snapshot> snapshots;
};

// All services under one revision of the list.
struct Fleet
{
    std::uint64_t revision = 0;
    std::map<std::string, ServiceRecord> services;
};

// Parses the JSON list. Error: ListsSyntax (5000) with the parser's message. Thread-safe.
core::Result<Fleet> parseFleet(std::string_view text);

} // namespace goldcrestline::policy::routing
