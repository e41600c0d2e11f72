#pragma once

#include "core/clock.h"

#include <string>
#include <unordered_map>

// Fractions of the requests that are served, by workspace and by route.
namespace goldcrestline::policy::admission {

// Recent requests and the served ones among them, for each name and for all. Finds the names that
// are served so rarely that they have to be preferred. Not thread-safe.
class ServedFraction
{
public:
    // Records the end of a request.
    void onEnded(const std::string &name, bool served, core::TimePoint now);

    // Returns whether the name's served fraction is close to or below the guaranteed part of that
    // of all requests.
    bool isStarved(const std::string &name, core::TimePoint now) const;

    std::size_t size() const { return m_names.size(); }

private:
    // Numbers of requests, which halve with each half-life.
    struct Counts
    {
        double requests = 0;
        double served = 0;
        core::TimePoint updatedAt{};

        void add(bool wasServed, core::TimePoint now);
        double requestsAt(core::TimePoint now) const;
    };

    Counts m_all;
    std::unordered_map<std::string, Counts> m_names;
    // Number of names at which those without recent requests are removed.
    std::size_t m_sweepAt = 0;
};

} // namespace goldcrestline::policy::admission
