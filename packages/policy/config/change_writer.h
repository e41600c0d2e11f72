#pragma once

#include "core/result.h"
#include "policy/config/lists.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

// Carries one operator's change to the platform so that a lost answer never leaves it in doubt
// for longer than the platform is out.
namespace goldcrestline::policy::config {

// Read the object, then call onRead().
struct ReadLists
{ };
// Write the text if the object's version is `expected`, then call onWritten().
struct WriteLists
{
    std::uint64_t expected = 0;
    std::string text;
};
// The change took effect as `revision`.
struct Accepted
{
    std::uint64_t revision = 0;
};
// The change certainly did not take effect.
struct NotApplied
{
    core::Error why;
};
using WriterStep = std::variant<ReadLists, WriteLists, Accepted, NotApplied>;

// How a conditional write ended, as far as the writer knows.
enum class WriteResult { Written, Conflict, Unknown, Refused };

// State machine of one change. Not thread-safe.
class ChangeWriter
{
public:
    // `base`: revision that the edit was made on; empty applies to whatever is newest.
    ChangeWriter(Lists edit, std::optional<std::uint64_t> base, std::string changeId,
                 std::string author);

    // Takes the object as read: its version (0 if there is none) and text.
    WriterStep onRead(std::uint64_t version, const std::string &text, core::WallMillis now);

    // Takes the end of a write.
    WriterStep onWritten(WriteResult report);

    // Tells whether a write is out whose effect is not known.
    bool inDoubt() const { return m_inDoubt; }

private:
    Lists m_edit;
    std::optional<std::uint64_t> m_base;
    std::string m_changeId;
    std::string m_author;
    std::uint64_t m_nextRevision = 0;
    bool m_inDoubt = false;
};

} // namespace goldcrestline::policy::config
