#pragma once

#include "ports/peer_link.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

// Encoding of the messages between hosts in Cap'n Proto. Functions are pure and thread-safe.
namespace goldcrestline::adapters::peers {

// Encodes a message. `id` matches a response to its request.
std::string encode(std::uint64_t id, const ports::PeerRequest &request);
std::string encode(std::uint64_t id, const ports::PeerResponse &answer);

struct DecodedMessage
{
    std::uint64_t id = 0;
    std::variant<ports::PeerRequest, ports::PeerResponse> content;
};

// Decodes a message. Returns nothing if `bytes` are not a message of this protocol.
std::optional<DecodedMessage> decode(std::string_view bytes);

} // namespace goldcrestline::adapters::peers
