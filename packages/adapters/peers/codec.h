#pragma once

#include "ports/peer_link.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

// Messages between hosts as Cap'n Proto bytes. Pure and thread-safe.
namespace goldcrestline::adapters::peers {

// `id` names the question in its answer.
std::string encode(std::uint64_t id, const ports::PeerRequest &request);
std::string encode(std::uint64_t id, const ports::PeerResponse &answer);

struct DecodedMessage
{
    std::uint64_t id = 0;
    std::variant<ports::PeerRequest, ports::PeerResponse> content;
};

// Nothing if the bytes are no message of this protocol.
std::optional<DecodedMessage> decode(std::string_view bytes);

} // namespace goldcrestline::adapters::peers
