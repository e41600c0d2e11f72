#pragma once

#include "core/name_table.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace goldcrestline::policy::membership {

// State of one host as seen by the others. Within one incarnation and refutation number a higher
// value overrides a lower one.
enum class MemberState { Alive, Suspect, Dead, Left };

inline constexpr core::NameTable<MemberState, 4> memberStateNames{{
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Dead, "dead"},
    {MemberState::Left, "left"},
}};

// One host's membership record as disseminated by gossip.
struct Member
{
    std::string name;
    std::string zone;
    std::string region;
    std::string callersAddress;
    std::string controlAddress;
    std::string peersAddress;
    // Address for requests that other hosts relay; empty if the host takes none.
    std::string relayAddress;
    // Wall-clock start time of the process in milliseconds, so that it increases with each restart.
    std::uint64_t incarnation = 0;
    // Version of the record within an incarnation. Only the host itself increments it: to refute a
    // suspicion, or when `strained`, `cutOff` or `unproven` changes.
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    // The host is shutting down and is not advertised to callers any more.
    bool leaving = false;
    // Host that adopted the sealed idempotency ledger; empty if none.
    std::string successor;
    // Number of queries in flight, used to balance callers over the hosts.
    std::uint32_t load = 0;
    // Processor capacity of the host in thousandths of a core.
    std::uint32_t capacity = 0;
    // Processor utilization of the host is above the level from which response times grow.
    bool strained = false;
    // The host reaches no server, while other hosts do.
    bool cutOff = false;
    // The host refuses requests with a key, since its configuration may be outdated, while other
    // hosts serve them.
    bool unproven = false;

    // Returns whether this record overrides `other` of the same host. Thread-safe.
    bool supersedes(const Member &other) const
    {
        const auto rank = [](const Member &it) {
            return std::tuple(it.incarnation, it.refutation, static_cast<int>(it.state),
                              it.leaving);
        };
        return rank(*this) > rank(other);
    }
};

} // namespace goldcrestline::policy::membership
