#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace goldcrestline::cli {

// One answered, refused or lost query of a load.
struct LoadSample
{
    core::Duration took{};
    int code = 0;
    bool answered = false;
    std::uint64_t answeredDocuments = 0;
    std::uint64_t allDocuments = 0;
    // The answer named another query's body, a mixed snapshot or another caller's data.
    bool wrong = false;
};

// Collects samples and reports latency, coverage and codes. Not thread-safe.
class LoadRecorder
{
public:
    void add(const LoadSample &sample);

    // Returns the report as JSON. `seconds`: time over which queries were sent.
    nlohmann::json report(double seconds, double target) const;

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
