#pragma once

#include "adapters/settings/settings.h"
#include "policy/membership/member_table.h"

// Membership parameters of this host, from its settings.
namespace goldcrestline::daemon::peers {

// Returns this host's own member record. `incarnation` increases with each start. Thread-safe.
policy::membership::Member selfMember(const adapters::settings::Settings &settings,
                                      std::uint64_t incarnation);

// Returns the timings of the membership protocol. Thread-safe.
policy::membership::MembershipTimings
membershipTimings(const adapters::settings::Settings &settings);

// Returns the processor capacity of the host in cores. Thread-safe.
double availableCores(const adapters::settings::Settings &settings);

} // namespace goldcrestline::daemon::peers
