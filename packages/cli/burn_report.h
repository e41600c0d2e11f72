#pragma once

#include "cli/fleet_status.h"

#include <string>
#include <vector>

namespace goldcrestline::cli {

// Number of responses of one service to the requests of one plan, summed over all hosts.
struct AnswerCounts
{
    std::uint64_t total = 0;
    // Not in time, or refused because of overload.
    std::uint64_t late = 0;
    // With incomplete coverage of the documents ("thin" in the status and the report).
    std::uint64_t partial = 0;
};

// Service level of one service for one plan: targets and counts.
struct BurnRow
{
    std::string plan;
    std::string service;
    // Target share of responses in time and with full coverage, 0 to 1.
    double targetInTime = 0;
    double targetCoverage = 0;
    // The last 5 minutes.
    AnswerCounts shortWindow;
    // The last hour.
    AnswerCounts longWindow;
    // Intervals of 10 s, oldest first.
    std::vector<AnswerCounts> series;
};

// Sums the counts of all hosts per plan and service. Hosts without a status are skipped.
std::vector<BurnRow> sumBurn(const std::vector<HostReport> &hosts);

// Formats the rows as a text table.
std::string burnTable(const std::vector<BurnRow> &rows);

// Formats the rows as JSON.
nlohmann::json burnJson(const std::vector<BurnRow> &rows);

// Formats the rows as a self-contained HTML page with a plot per row. `hosts`: number of hosts in
// the sum.
std::string burnPage(const std::vector<BurnRow> &rows, std::size_t hosts);

} // namespace goldcrestline::cli
