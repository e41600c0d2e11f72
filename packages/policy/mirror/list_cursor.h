#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace goldcrestline::policy::mirror {

// Position in a list that the store returns in pages, each of which begins after a name. The names
// are of any form: other writers choose them, too. Not thread-safe.
class ListCursor
{
public:
    // Returns the name after which the next page begins; empty for the first page.
    const std::string &after() const { return m_after; }

    // Goes back to the first page.
    void restart();

    // Continues after `last`, the last name of a page that is followed by another one; empty if
    // that name is unknown. Returns false if the list cannot be continued.
    bool advance(const std::string &last);

    // Continues after a name behind the current position, because the store rejects the current
    // one, or returns the same page again. Returns false if the list cannot be continued.
    bool skip();

    // Returns whether an object of this name may exist that no page contained, since the list went
    // on behind it or ended before it.
    bool mayHaveSkipped(const std::string &name) const;

private:
    // Names after `from` up to `to`; without an end up to the last one.
    struct Gap
    {
        std::string from;
        std::optional<std::string> to;
    };

    bool endEarly();

    std::string m_after;
    // Names after which pages began, to notice that pages repeat.
    std::set<std::string> m_visited;
    std::vector<Gap> m_gaps;
    // The current position is not the name of an object.
    bool m_skipped = false;
};

} // namespace goldcrestline::policy::mirror
