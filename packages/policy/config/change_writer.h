#pragma once

#include "core/result.h"
#include "policy/config/lists.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

// Protocol by which an operator's change of the lists is written to the platform with
// compare-and-set. If the response to a write is lost, the object is read again, so that the
// outcome of the change is known as soon as the platform responds.
namespace goldcrestline::policy::config {

// Next step: read the object, then call onRead().
struct ReadLists
{ };
// Next step: write the text if the object's version is `expected`, then call onWritten().
struct WriteLists
{
    core::Version expected;
    std::string text;
};
// Final: the change took effect as `version` of the lists.
struct Accepted
{
    core::Version version;
};
// Final: the change certainly did not take effect.
struct NotApplied
{
    core::Error error;
};
using WriterStep = std::variant<ReadLists, WriteLists, Accepted, NotApplied>;

// Result of a conditional write as seen by the writer. Unknown: no response was received, so the
// write may have taken effect.
enum class WriteResult { Written, Conflict, Unknown, Refused };

// State machine of one change. Performs no calls itself: the caller makes the step that is returned
// and reports its result. Begin by reading the object. Not thread-safe.
class ChangeWriter
{
public:
    // `base`: revision that the edit is based on; the change is not applied to any other. Empty
    // applies it to the newest one. `changeId` identifies the change in the history of the lists.
    ChangeWriter(Lists edit, std::optional<std::uint64_t> base, std::string changeId,
                 std::string author);

    // Records the object as read: its version (revision 0 if it does not exist) and text.
    WriterStep onRead(core::Version version, const std::string &text, core::WallMillis now);

    // Records the result of a write.
    WriterStep onWritten(WriteResult result);

    // Returns whether a write was sent whose effect is not known.
    bool inDoubt() const { return m_inDoubt; }

private:
    Lists m_edit;
    std::optional<std::uint64_t> m_base;
    std::string m_changeId;
    std::string m_author;
    core::Version m_nextVersion;
    bool m_inDoubt = false;
};

} // namespace goldcrestline::policy::config
