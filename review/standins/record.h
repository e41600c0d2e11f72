#pragma once

#include <chrono>
#include <cstdint>
#include <string>

// The record of a run: what was sent, answered and executed, with times.
namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

// Opens the record; lines have times since this call. Call once, before all others.
void openRecord(const std::string &path);

// Writes one line. Thread-safe.
void record(const std::string &line);

// Returns the milliseconds since openRecord(). Thread-safe.
std::int64_t nowMs();

void sleepMs(std::int64_t ms);

// Returns whether the run contains the disruption: not with TROUBLE=0 in the environment.
bool withTrouble();

} // namespace review
