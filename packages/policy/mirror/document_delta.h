#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Differences between two versions of a JSON document whose size lies in long lists, so that a
// small change of a large document is a short message. Pure functions; thread-safe.
namespace goldcrestline::policy::mirror {

// Returns the pieces of a JSON text, which together are the whole text: each ends before an element
// of a list or object that is a member of the document, or with the text. The text need not be
// valid JSON.
std::vector<std::string_view> splitDocument(std::string_view text);

// Returns a hash of each piece of the text.
std::vector<std::uint64_t> pieceHashes(std::string_view text);

// Returns what turns the document with the pieces `base` into `text`.
std::string makeDelta(const std::vector<std::uint64_t> &base, std::string_view text);

// Returns the document that a delta makes of `base`; nothing if the delta is malformed, refers to
// pieces that `base` lacks, or makes more than `maxBytes`.
std::optional<std::string> applyDelta(std::string_view base, std::string_view delta,
                                      std::size_t maxBytes);

} // namespace goldcrestline::policy::mirror
