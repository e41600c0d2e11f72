#pragma once

#include "adapters/settings/settings.h"
#include "policy/membership/member_table.h"

// What a host's settings say of it as a member.
namespace goldcrestline::daemon::peers {

// Returns this host as it spreads itself. `incarnation` rises with each start. Thread-safe.
policy::membership::Member selfMember(const adapters::settings::Settings &settings,
                                      std::uint64_t incarnation);

// Returns the periods of the protocol. Thread-safe.
policy::membership::MembershipTimes membershipTimings(const adapters::settings::Settings &settings);

// Returns the host's processor in cores. Thread-safe.
double availableCores(const adapters::settings::Settings &settings);

} // namespace goldcrestline::daemon::peers
