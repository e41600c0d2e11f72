#pragma once

#include "core/version.h"

#include <string>

namespace goldcrestline::policy::config {

// A host's copy of a replicated document. Its version never decreases. Not thread-safe.
class Document
{
public:
    // Stores `text` if `version` is higher than the stored one; returns whether it was stored.
    bool updateIfNewer(core::Version version, std::string text)
    {
        if (version <= m_version)
            return false;
        m_version = version;
        m_text = std::move(text);
        return true;
    }

    core::Version version() const { return m_version; }
    const std::string &text() const { return m_text; }
    bool empty() const { return m_version.revision == 0; }

private:
    core::Version m_version;
    std::string m_text;
};

} // namespace goldcrestline::policy::config
