#pragma once

#include <cstdint>
#include <string>

namespace goldcrestline::policy::config {

// A document that every host holds a copy of and that only moves to higher revisions.
// Not thread-safe.
class Document
{
public:
    // Takes a text if its revision is higher than the one held; returns whether it was taken.
    bool offer(std::uint64_t revision, std::string text)
    {
        if (revision <= m_revision)
            return false;
        m_revision = revision;
        m_text = std::move(text);
        return true;
    }

    std::uint64_t revision() const { return m_revision; }
    const std::string &text() const { return m_text; }
    bool empty() const { return m_revision == 0; }

private:
    std::uint64_t m_revision = 0;
    std::string m_text;
};

} // namespace goldcrestline::policy::config
