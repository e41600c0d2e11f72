#include "policy/mirror/document_delta.h"

#include "core/hash.h"

#include <charconv>
#include <unordered_map>
#include <utility>

namespace goldcrestline::policy::mirror {

namespace {

// Depth of the elements of the document's members.
constexpr int elementDepth = 2;

// A delta is a sequence of instructions: "=FIRST,COUNT\n" copies pieces of the base, and
// "+BYTES\n" is followed by that many bytes of new text.
constexpr char copyMark = '=';
constexpr char newTextMark = '+';

void appendCopy(std::string &out, std::size_t first, std::size_t count)
{
    if (count > 0)
        out += copyMark + std::to_string(first) + "," + std::to_string(count) + "\n";
}

void appendNewText(std::string &out, std::string_view text)
{
    if (text.empty())
        return;
    out += newTextMark + std::to_string(text.size()) + "\n";
    out += text;
}

// Removes a number and the character `end` after it from the front of `text`.
std::optional<std::size_t> takeNumber(std::string_view &text, char end)
{
    std::size_t value = 0;
    const auto *last = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), last, value);
    if (ec != std::errc() || at == last || *at != end)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(at - text.data()) + 1);
    return value;
}

} // namespace

std::vector<std::string_view> splitDocument(std::string_view text)
{
    std::vector<std::string_view> out;
    std::size_t begin = 0;
    int depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quoted) {
            if (c == '\\') {
                ++i;
            } else if (c == '"') {
                quoted = false;
            }
            continue;
        }
        if (c == '"') {
            quoted = true;
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if (c == '}' || c == ']') {
            --depth;
        }
        const bool beginsElement = (c == '{' || c == '[' || c == ',') && depth == elementDepth;
        if (!beginsElement)
            continue;
        out.push_back(text.substr(begin, i + 1 - begin));
        begin = i + 1;
    }
    if (begin < text.size())
        out.push_back(text.substr(begin));
    return out;
}

std::vector<std::uint64_t> pieceHashes(std::string_view text)
{
    std::vector<std::uint64_t> out;
    for (const auto it : splitDocument(text))
        out.push_back(core::stableHash(it));
    return out;
}

std::string makeDelta(const std::vector<std::uint64_t> &base, std::string_view text)
{
    std::unordered_map<std::uint64_t, std::size_t> indices;
    for (std::size_t i = 0; i < base.size(); ++i)
        indices.emplace(base[i], i);
    std::string out;
    std::string_view newText;
    std::size_t first = 0;
    std::size_t count = 0;
    for (const auto it : splitDocument(text)) {
        const auto hash = core::stableHash(it);
        const auto found = indices.find(hash);
        if (found == indices.end()) {
            appendCopy(out, first, std::exchange(count, 0));
            // Pieces follow each other in the text.
            newText =
                newText.empty() ? it : std::string_view(newText.data(), newText.size() + it.size());
            continue;
        }
        appendNewText(out, std::exchange(newText, {}));
        // Equal pieces occur several times; the one after the last copy keeps the run going.
        const bool continues =
            count > 0 && first + count < base.size() && base[first + count] == hash;
        if (!continues) {
            appendCopy(out, first, std::exchange(count, 0));
            first = found->second;
        }
        ++count;
    }
    appendCopy(out, first, count);
    appendNewText(out, newText);
    return out;
}

std::optional<std::string> applyDelta(std::string_view base, std::string_view delta,
                                      std::size_t maxBytes)
{
    const auto pieces = splitDocument(base);
    std::string out;
    while (!delta.empty()) {
        const char mark = delta.front();
        delta.remove_prefix(1);
        if (mark == newTextMark) {
            const auto n = takeNumber(delta, '\n');
            if (!n || *n > delta.size() || *n > maxBytes - out.size())
                return std::nullopt;
            out += delta.substr(0, *n);
            delta.remove_prefix(*n);
            continue;
        }
        if (mark != copyMark)
            return std::nullopt;
        const auto first = takeNumber(delta, ',');
        const auto count = first ? takeNumber(delta, '\n') : std::nullopt;
        if (!count || *first > pieces.size() || *count > pieces.size() - *first)
            return std::nullopt;
        for (std::size_t i = *first; i < *first + *count; ++i) {
            if (pieces[i].size() > maxBytes - out.size())
                return std::nullopt;
            out += pieces[i];
        }
    }
    return out;
}

} // namespace goldcrestline::policy::mirror
