#pragma once

#include "policy/routing/server_table.h"

#include <string>
#include <vector>

namespace goldcrestline::policy::routing {

// Selects the notes for one message when there are more than fit into it. Not thread-safe.
class NoteRotation
{
public:
    // Returns at most `limit` of the notes, following those that the last call returned, so that
    // successive messages contain all of them in turn.
    std::vector<LeavingNote> next(std::vector<LeavingNote> notes, std::size_t limit);

private:
    std::string m_last;
};

} // namespace goldcrestline::policy::routing
