#pragma once

#include "core/connect_outcome.h"
#include "core/name_table.h"

#include <optional>
#include <string>
#include <vector>

// Finds out whether a server process has ended, from a connection to it that broke.
namespace goldcrestline::policy::quarantine {

enum class ServerState {
    // The process accepts no connections any more, while other servers do.
    Ended,
    Alive,
    // Not known: the server does not answer, or this host reaches no other server either.
    Unknown,
};

inline constexpr core::NameTable<ServerState, 3> serverStateNames{{
    {ServerState::Ended, "ended"},
    {ServerState::Alive, "alive"},
    {ServerState::Unknown, "unknown"},
}};

// State machine of one check. A refused connection proves the end of the process only if this host
// reaches another server, because a link that is cut may refuse connections too. Performs no I/O.
// Not thread-safe.
class EndCheck
{
public:
    // `others`: addresses of servers to compare with, in the order in which they are tried.
    EndCheck(std::string address, std::vector<std::string> others);

    // Returns the address to connect to next; nothing once the result is known.
    std::optional<std::string> nextAddress() const;

    // Records the outcome of connecting to nextAddress(). Precondition: there was one.
    void onConnect(core::ConnectOutcome outcome);

    // Precondition: nextAddress() returns nothing.
    ServerState result() const { return *m_result; }

private:
    std::string m_address;
    std::vector<std::string> m_others;
    std::size_t m_nextOther = 0;
    bool m_refused = false;
    std::optional<ServerState> m_result;
};

} // namespace goldcrestline::policy::quarantine
