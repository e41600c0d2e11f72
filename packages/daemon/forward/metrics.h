#pragma once

#include "daemon/forward/configuration_prover.h"
#include "daemon/forward/forward_counters.h"
#include "daemon/forward/request_admission.h"
#include "ports/peer_link.h"

#include <cstdint>
#include <string>

namespace goldcrestline::daemon::forward {

// Current state of a host, reported next to its counters.
struct HostGauges
{
    // Version of the platform configuration in force.
    std::uint64_t version = 0;
    // Parts of it that are malformed and left out.
    std::size_t configurationPartsLeftOut = 0;
    // The store's configuration is newer, and nothing of it can be used.
    bool configurationRejected = false;
    // Age of the store's last response to this host's own call for the configuration.
    std::uint64_t configurationWatchAgeMs = 0;
    // Documents requested from other hosts, and how many of these requests failed.
    std::uint64_t documentFetches = 0;
    std::uint64_t failedDocumentFetches = 0;
    std::size_t members = 0;
    // Calls in progress.
    std::size_t running = 0;
    std::uint64_t storeCalls = 0;
    bool storeReached = false;
    // This host watches the store instead of following other hosts.
    bool storeWatching = false;
    // Newest era of the store, and how often it rose since the start.
    std::uint64_t storeEra = 0;
    std::uint64_t storeRestores = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t logLinesLeftOut = 0;
    // Bytes sent to other hosts, and received from the store and from the servers.
    ports::PeerTraffic peerBytes;
    std::uint64_t storeBytes = 0;
    std::uint64_t serverBytes = 0;
    // Estimated processor utilization; may exceed 100.
    std::uint64_t processorUsePercent = 0;
    bool stopping = false;
    // Share of the limits of servers, in thousandths.
    std::uint64_t limitSharePermille = 0;
    // The host reaches no server, while other hosts do.
    bool cutOff = false;
    // Requests that this host relayed to another one.
    std::uint64_t requestsRelayed = 0;
    // Requests that may crash servers, and those of them that are blocked.
    std::uint64_t requestsSuspected = 0;
    std::uint64_t requestsBlocked = 0;
    ProofStatus proof;
};

// Returns the metrics in text form, with one name and value per line. Thread-safe.
std::string formatMetrics(const HostGauges &gauges, const ForwardCounters &counters,
                          const AdmissionCounters &admission, const WorkspaceCounters &workspaces,
                          core::TimePoint now);

} // namespace goldcrestline::daemon::forward
