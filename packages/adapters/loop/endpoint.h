#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string>

namespace goldcrestline::adapters::loop {

// Parses "IP:PORT"; an IPv6 address may be enclosed in brackets. Returns nothing if `address` is
// malformed. Port 0 is accepted and lets the system choose a port when binding. Thread-safe.
template <typename Protocol>
std::optional<typename Protocol::endpoint> parseEndpoint(const std::string &address)
{
    constexpr unsigned highestPort = 65535;
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon + 1 == address.size())
        return std::nullopt;
    auto ip = address.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    unsigned port = 0;
    for (std::size_t i = colon + 1; i < address.size(); ++i) {
        const char c = address[i];
        if (c < '0' || c > '9' || port > highestPort)
            return std::nullopt;
        port = port * 10 + static_cast<unsigned>(c - '0');
    }
    if (port > highestPort)
        return std::nullopt;
    boost::system::error_code ec;
    const auto parsed = boost::asio::ip::make_address(ip, ec);
    if (ec)
        return std::nullopt;
    return typename Protocol::endpoint(parsed, static_cast<unsigned short>(port));
}

} // namespace goldcrestline::adapters::loop
