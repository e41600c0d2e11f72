#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace goldcrestline::cli {

// Result of one query of a generated load.
struct LoadSample
{
    // Time between the scheduled send time and the response.
    core::Duration latency{};
    // Result code; 0 if the response has none.
    int code = 0;
    // False if no response was received.
    bool answered = false;
    std::uint64_t answeredDocuments = 0;
    std::uint64_t allDocuments = 0;
    // A part of the response was computed from another request body or another snapshot, such as
    // that of another caller.
    bool wrong = false;
};

// Collects samples and reports latency, coverage and result codes. Not thread-safe.
class LoadRecorder
{
public:
    void add(const LoadSample &sample);

    // Returns the report as JSON. `durationSeconds`: time over which queries were sent;
    // `offeredPerSecond`: rate at which queries were to be sent.
    nlohmann::json report(double durationSeconds, double offeredPerSecond) const;

    std::uint64_t samples() const { return m_samples; }

private:
    static double quantile(std::vector<double> &sorted, double q);

    std::uint64_t m_samples = 0;
    std::uint64_t m_full = 0;
    std::uint64_t m_useful = 0;
    std::uint64_t m_wrong = 0;
    double m_coverage = 0;
    std::uint64_t m_lost = 0;
    std::vector<double> m_answeredMs;
    std::vector<double> m_refusedMs;
    std::map<int, std::uint64_t> m_codes;
};

} // namespace goldcrestline::cli
