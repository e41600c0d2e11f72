#pragma once

#include "core/clock.h"
#include "core/name_table.h"
#include "core/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// The operators' two lists: customers' plans, and what each plan may use.
namespace goldcrestline::policy::config {

// Order in which services give way under overload; interactive work goes last.
enum class Priority { Interactive, Page, Background };

inline constexpr core::NameTable<Priority, 3> priorityNames{{
    {Priority::Interactive, "interactive"},
    {Priority::Page, "page"},
    {Priority::Background, "background"},
}};

// What a plan values when an answer is not complete yet.
enum class Preference { Latency, Coverage };

inline constexpr core::NameTable<Preference, 2> preferenceNames{{
    {Preference::Latency, "latency"},
    {Preference::Coverage, "coverage"},
}};

// How a plan may use one service.
struct ServicePolicy
{
    Priority priority = Priority::Page;
    Preference prefer = Preference::Coverage;
    core::Millis deadline{1000};
    core::Millis answerAfter{500};
    double coverageFloor = 0.0;
    // Objectives of the report on burn: share of answers in time, and share of full answers.
    double targetInTime = 0.99;
    double targetCoverage = 0.999;
};

// One plan: its rate over the whole fleet and its services.
struct Plan
{
    double ratePerSecond = 0;
    std::map<std::string, ServicePolicy> services;
};

// One accepted change, kept so that its writer can learn whether it took effect.
struct Change
{
    std::string changeId;
    std::string author;
    std::uint64_t revision = 0;
    core::WallMillis acceptedAt = 0;
};

// Both lists under one revision.
struct Lists
{
    std::uint64_t revision = 0;
    std::map<std::string, std::string> planByCustomer;
    std::map<std::string, Plan> plans;
    std::vector<Change> history;

    // Returns the plan of `customer`, or null. Thread-safe on a constant object.
    const Plan *planFor(const std::string &customer) const;

    // Tells whether the change with `changeId` is in the kept history.
    bool containsChange(std::string_view changeId) const;
};

// Parses and validates the lists. Errors: 5000 to 5004, with the field's path. Thread-safe.
core::Result<Lists> parseLists(std::string_view text);

// Prints the lists as JSON with revision and history. Thread-safe.
std::string serializeLists(const Lists &lists);

// Prints only the part that operators edit. Thread-safe.
std::string serializeEditableFields(const Lists &lists);

// Returns the lists that follow `current` by `edit`, with the change recorded. Thread-safe.
Lists nextRevision(const Lists &current, Lists edit, std::string changeId, std::string author,
                   core::WallMillis now);

} // namespace goldcrestline::policy::config
