#include "policy/config/change_writer.h"

#include <algorithm>

namespace goldcrestline::policy::config {

using core::Error;
using core::ResultCode;

ChangeWriter::ChangeWriter(Lists edit, std::optional<std::uint64_t> base, std::string changeId,
                           std::string author)
    : m_edit(std::move(edit)), m_base(base), m_changeId(std::move(changeId)),
      m_author(std::move(author))
{ }

WriterStep ChangeWriter::onRead(core::Version version, const std::string &text,
                                core::WallMillis now)
{
    Lists current;
    if (version.revision != 0) {
        auto parsed = parseLists(text);
        if (!parsed.has_value())
            return NotApplied{parsed.error()};
        current = std::move(parsed.value());
    }
    const auto own = std::find_if(current.history.begin(), current.history.end(),
                                  [&](const Change &it) { return it.changeId == m_changeId; });
    if (own != current.history.end())
        return Accepted{{current.era, own->revision}};
    // The change is not in the history, so an earlier write without a response did not take effect.
    // It cannot do so later either, since it expected an older version of the object.
    if (m_base && *m_base != current.revision) {
        const auto author = current.history.empty() ? "nobody" : current.history.back().author;
        return NotApplied{Error{ResultCode::ListsConflict,
                                "the lists are at revision " + std::to_string(current.revision)
                                    + " by " + author + ", the change is based on revision "
                                    + std::to_string(*m_base)}};
    }
    const auto next = nextRevision(current, m_edit, m_changeId, m_author, version.era, now);
    m_nextVersion = next.version();
    return WriteLists{version, serializeLists(next)};
}

WriterStep ChangeWriter::onWritten(WriteResult result)
{
    switch (result) {
    case WriteResult::Written:
        return Accepted{m_nextVersion};
    case WriteResult::Unknown:
        m_inDoubt = true;
        return ReadLists{};
    case WriteResult::Conflict:
        return ReadLists{};
    case WriteResult::Refused:
        if (m_inDoubt)
            return ReadLists{};
        return NotApplied{
            Error{ResultCode::PlatformUnreachable, "the platform rejected the write of the lists"}};
    }
    return ReadLists{};
}

} // namespace goldcrestline::policy::config
