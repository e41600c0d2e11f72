#pragma once

#include <cstdint>
#include <string>

namespace goldcrestline::policy::config {

// A host's copy of a replicated document. Its revision never decreases. Not thread-safe.
class Document
{
public:
    // Stores `text` if `revision` is higher than the stored one; returns whether it was stored.
    bool updateIfNewer(std::uint64_t revision, std::string text)
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
