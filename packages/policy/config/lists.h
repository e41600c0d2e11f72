#pragma once

#include "core/clock.h"
#include "core/name_table.h"
#include "core/result.h"
#include "core/version.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// The two lists that operators maintain: the plan of each customer, and the limits and services of
// each plan.
namespace goldcrestline::policy::config {

// Order in which requests are shed under overload: background work first, interactive work last.
enum class Priority { Interactive, Page, Background };

inline constexpr core::NameTable<Priority, 3> priorityNames{{
    {Priority::Interactive, "interactive"},
    {Priority::Page, "page"},
    {Priority::Background, "background"},
}};

// What a plan prefers while shards are missing from an answer: to return it early, or to wait for
// coverage.
enum class Preference { Latency, Coverage };

inline constexpr core::NameTable<Preference, 2> preferenceNames{{
    {Preference::Latency, "latency"},
    {Preference::Coverage, "coverage"},
}};

// The terms on which a plan may use one service.
struct ServicePolicy
{
    Priority priority = Priority::Page;
    Preference prefer = Preference::Coverage;
    core::Millis deadline{1000};
    // Time after which an incomplete answer is returned if `prefer` is Latency.
    core::Millis answerAfter{500};
    // Smallest share of the documents, 0 to 1, that an answer returned before the deadline must
    // cover.
    double coverageFloor = 0.0;
    // Service level objectives of the burn-rate report: share of answers in time, and share of
    // answers with full coverage.
    double targetInTime = 0.99;
    double targetCoverage = 0.999;
};

// One plan: its fleet-wide rate limit and the services that it may use, by name.
struct Plan
{
    double ratePerSecond = 0;
    std::map<std::string, ServicePolicy> services;
};

// One accepted change, kept so that its writer can find out whether it took effect after the
// response to the write was lost.
struct Change
{
    std::string changeId;
    std::string author;
    std::uint64_t revision = 0;
    core::WallMillis acceptedAt = 0;
};

// Both lists under a common version.
struct Lists
{
    // Era of the store in which the lists were written. Orders lists before the revision, which
    // goes back when the store is restored from an older copy.
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    std::map<std::string, std::string> planByCustomer;
    std::map<std::string, Plan> plans;
    std::vector<Change> history;

    // Returns the plan of `customer`, or null. Thread-safe on a constant object.
    const Plan *planFor(const std::string &customer) const;

    core::Version version() const { return {era, revision}; }

    // Returns whether the history contains the change with `changeId`. Thread-safe on a constant
    // object.
    bool containsChange(std::string_view changeId) const;
};

// Parses and validates the lists. Errors: 5000 to 5004, with the field's path. Thread-safe.
core::Result<Lists> parseLists(std::string_view text);

// Serializes the lists as JSON, with revision and history. Thread-safe.
std::string serializeLists(const Lists &lists);

// Serializes only the fields that operators edit, as indented JSON. Thread-safe.
std::string serializeEditableFields(const Lists &lists);

// Returns the lists of `edit` as the successor of `current` in the store's `era`: with the next
// revision number, and the change appended to the history. Thread-safe.
Lists nextRevision(const Lists &current, Lists edit, std::string changeId, std::string author,
                   std::uint64_t era, core::WallMillis now);

} // namespace goldcrestline::policy::config
