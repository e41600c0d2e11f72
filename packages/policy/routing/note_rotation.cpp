#include "policy/routing/note_rotation.h"

#include <algorithm>

namespace goldcrestline::policy::routing {

std::vector<LeavingNote> NoteRotation::next(std::vector<LeavingNote> notes, std::size_t limit)
{
    if (notes.size() <= limit)
        return notes;
    std::sort(notes.begin(), notes.end(),
              [](const LeavingNote &a, const LeavingNote &b) { return a.serverId < b.serverId; });
    const auto first = std::upper_bound(
        notes.begin(), notes.end(), m_last,
        [](const std::string &last, const LeavingNote &it) { return last < it.serverId; });
    std::rotate(notes.begin(), first, notes.end());
    notes.resize(limit);
    m_last = notes.empty() ? std::string() : notes.back().serverId;
    return notes;
}

} // namespace goldcrestline::policy::routing
