#pragma once

#include "cli/fleet_status.h"

#include <string>
#include <vector>

namespace goldcrestline::cli {

// Answers of a plan's use of a service over the whole fleet.
struct FleetCounts
{
    std::uint64_t total = 0;
    std::uint64_t late = 0;
    std::uint64_t thin = 0;
};

// One plan's use of one service: objectives, both windows, and ten-second steps, oldest first.
struct BurnRow
{
    std::string plan;
    std::string service;
    double targetInTime = 0;
    double targetCoverage = 0;
    FleetCounts shortWindow;
    FleetCounts longWindow;
    std::vector<FleetCounts> series;
};

// Sums the hosts' reports.
std::vector<BurnRow> sumBurn(const std::vector<HostReport> &hosts);

// Prints the rows as a table, as JSON, or as a page that needs no other file.
std::string burnTable(const std::vector<BurnRow> &rows);
nlohmann::json burnJson(const std::vector<BurnRow> &rows);
std::string burnPage(const std::vector<BurnRow> &rows, std::size_t hosts);

} // namespace goldcrestline::cli
