#pragma once

#include "adapters/curl/http_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace goldcrestline::cli {

// Status of one host.
struct HostReport
{
    std::string name;
    // Control address, "IP:PORT".
    std::string control;
    // Response to GET /v1/status; null if the host did not respond.
    nlohmann::json status;
};

// Reads the status of every alive or suspect member that the host at `control` knows, one after the
// other. Returns an empty list if that host does not respond.
std::vector<HostReport> readFleetStatus(adapters::curl::HttpClient &client,
                                        const std::string &control);

} // namespace goldcrestline::cli
