#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "core/snapshot_id.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// The platform's list of backend servers and of each service's snapshots.
namespace goldcrestline::policy::routing {

// One backend server as the platform lists it.
struct ServerRecord
{
    std::string id;
    std::string zone;
    std::string address;
    int group = 0;
    // Wall-clock start of the server process; a restart raises it.
    core::WallMillis startedAt = 0;
    int connections = 1;
    bool leaving = false;
};

// One snapshot: the documents that each group holds under its shard map.
struct Snapshot
{
    core::SnapshotId id;
    std::map<int, std::uint64_t> documentsByGroup;

    // Returns the number of documents of the whole snapshot. Thread-safe.
    std::uint64_t documents() const;
};

// One service: a sharded index, or servers that each run a whole request.
struct ServiceRecord
{
    bool sharded = true;
    std::vector<ServerRecord> servers;
    // Ascending by id.
    std::vector<Snapshot> snapshots;
};

// The whole list under one revision.
struct Fleet
{
    std::uint64_t revision = 0;
    std::map<std::string, ServiceRecord> services;
};

// Parses the list. Error: 5000 with the cause. Thread-safe.
core::Result<Fleet> parseFleet(std::string_view text);

} // namespace goldcrestline::policy::routing
