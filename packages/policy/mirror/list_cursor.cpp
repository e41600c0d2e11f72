#include "policy/mirror/list_cursor.h"

#include <algorithm>
#include <string_view>

namespace goldcrestline::policy::mirror {

namespace {

// Characters that need no encoding in a request line, in byte order.
constexpr std::string_view unreserved =
    "-.0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~";
// A longer name is not sent: servers reject request lines above about 8000 bytes, and each byte may
// need three.
constexpr std::size_t maxNameBytes = 2048;
// Unreserved characters that a substitute has in common with its name at most.
constexpr std::size_t maxCommonBytes = 128;

// Returns a short name of unreserved characters that follows `name` in byte order, the store's
// order, with as few names between them as possible. Returns nothing if there is none.
std::optional<std::string> substituteFor(std::string_view name)
{
    auto n = std::min({name.find_first_not_of(unreserved), name.size(), maxCommonBytes});
    while (true) {
        const auto replaced = n < name.size() ? static_cast<unsigned char>(name[n]) : 0;
        const auto *next = std::find_if(unreserved.begin(), unreserved.end(), [&](char c) {
            return static_cast<unsigned char>(c) > replaced;
        });
        if (next != unreserved.end())
            return std::string(name.substr(0, n)) + *next;
        if (n == 0)
            return std::nullopt;
        --n;
    }
}

} // namespace

void ListCursor::restart()
{
    m_after.clear();
    m_visited.clear();
    m_gaps.clear();
    m_skipped = false;
}

bool ListCursor::advance(const std::string &last)
{
    if (last.empty())
        return endEarly();
    if (!m_visited.insert(last).second)
        return skip();
    m_after = last;
    m_skipped = false;
    return last.size() <= maxNameBytes || skip();
}

bool ListCursor::skip()
{
    const bool possible = !m_skipped && !m_after.empty();
    const auto substitute = possible ? substituteFor(m_after) : std::nullopt;
    if (!substitute)
        return endEarly();
    m_gaps.push_back({m_after, substitute});
    m_after = *substitute;
    m_skipped = true;
    return true;
}

bool ListCursor::endEarly()
{
    m_gaps.push_back({m_after, std::nullopt});
    return false;
}

bool ListCursor::mayHaveSkipped(const std::string &name) const
{
    return std::any_of(m_gaps.begin(), m_gaps.end(),
                       [&](const Gap &it) { return name > it.from && (!it.to || name <= *it.to); });
}

} // namespace goldcrestline::policy::mirror
