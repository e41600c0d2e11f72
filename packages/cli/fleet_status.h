#pragma once

#include "adapters/curl/http_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace goldcrestline::cli {

// One host's status as it was read, null if it did not answer.
struct HostReport
{
    std::string name;
    std::string control;
    nlohmann::json status;
};

// Reads the status of every live member that the host at `control` knows. Empty if that host does
// not answer.
std::vector<HostReport> readFleetStatus(adapters::curl::HttpClient &client,
                                        const std::string &control);

} // namespace goldcrestline::cli
