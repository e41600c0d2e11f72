#include "policy/idempotency/key.h"

#include "core/hash.h"

#include <charconv>
#include <vector>

namespace goldcrestline::policy::idempotency {

namespace {

constexpr std::string_view keyPrefix = "gk1";
constexpr std::size_t keyPartCount = 6;
constexpr int randomBytes = 16;

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> parts;
    while (true) {
        const auto dot = text.find('.');
        parts.emplace_back(text.substr(0, dot));
        if (dot == std::string_view::npos)
            return parts;
        text.remove_prefix(dot + 1);
    }
}

template <typename Number>
bool readNumber(const std::string &text, Number &out)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), out);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

// Returns the text of a key up to its MAC.
std::string unsignedKeyOf(const std::string &host, std::uint64_t incarnation,
                          core::WallMillis expiresAt, const std::string &random)
{
    return std::string(keyPrefix) + "." + host + "." + std::to_string(incarnation) + "."
        + std::to_string(expiresAt) + "." + random;
}

} // namespace

std::optional<IssuedKey> parseIssuedKey(std::string_view text)
{
    const auto parts = split(text);
    if (parts.size() != keyPartCount || parts[0] != keyPrefix)
        return std::nullopt;
    IssuedKey key{parts[1], 0, 0, parts[4], parts[5]};
    if (!readNumber(parts[2], key.incarnation) || !readNumber(parts[3], key.expiresAt))
        return std::nullopt;
    return key;
}

std::string KeyIssuer::macOf(const std::string &unsignedKey, const std::string &customer) const
{
    return core::hmacHex(m_secret, unsignedKey + "\n" + customer);
}

std::string KeyIssuer::issue(const std::string &customer, core::WallMillis expiresAt) const
{
    const auto unsignedKey =
        unsignedKeyOf(m_host, m_incarnation, expiresAt, core::randomHex(randomBytes));
    return unsignedKey + "." + macOf(unsignedKey, customer);
}

core::Result<bool> KeyIssuer::check(const IssuedKey &key, const std::string &customer) const
{
    const auto unsignedKey = unsignedKeyOf(key.host, key.incarnation, key.expiresAt, key.random);
    const bool issuedHere = key.host == m_host && key.incarnation == m_incarnation;
    if (!issuedHere || macOf(unsignedKey, customer) != key.mac) {
        return core::Error{core::ResultCode::KeyNotYours,
                           "the key was not issued to this customer"};
    }
    return true;
}

} // namespace goldcrestline::policy::idempotency
