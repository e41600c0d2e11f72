#pragma once

#include "core/name_table.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace goldcrestline::policy::membership {

// What the hosts believe of one host. Later values win over earlier ones of the same incarnation.
enum class MemberState { Alive, Suspect, Dead, Left };

inline constexpr core::NameTable<MemberState, 4> memberStateNames{{
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Dead, "dead"},
    {MemberState::Left, "left"},
}};

// One entry host as the hosts spread it.
struct Member
{
    std::string name;
    std::string zone;
    std::string region;
    std::string callersAddress;
    std::string controlAddress;
    std::string peersAddress;
    // Wall-clock start of the process in milliseconds: a restart raises it.
    std::uint64_t incarnation = 0;
    // Raised by the host itself to contradict a suspicion, or when its own state changes.
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    // The host is stopping: no new callers are sent to it.
    bool leaving = false;
    // Host that took over the sealed request ledger; empty if none.
    std::string successor;
    // Queries under way, for spreading callers by load.
    std::uint32_t load = 0;
    // Processor of the host in thousandths of a core.
    std::uint32_t capacity = 0;
    // The host is busier than it can be without slowing its callers down.
    bool strained = false;

    // Tells whether this record replaces `other` of the same host. Thread-safe.
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
