#include "core/hash.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <vector>
#include <xxhash.h>

namespace goldcrestline::core {

namespace {

constexpr std::size_t truncatedMacBytes = 16;

std::string hex(const unsigned char *bytes, std::size_t n)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(2 * n);
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back(digits[bytes[i] >> 4]);
        out.push_back(digits[bytes[i] & 15]);
    }
    return out;
}

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

std::uint64_t rendezvousWeight(std::string_view node, std::string_view key)
{
    return XXH64(key.data(), key.size(), stableHash(node));
}

std::string sha256Hex(std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int n = 0;
    // OpenSSL looks EVP_sha256() up again at each call, which takes longer than hashing a key.
    static const EVP_MD *const sha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    EVP_Digest(text.data(), text.size(), digest, &n, sha256, nullptr);
    return hex(digest, n);
}

std::string hmacHex(std::string_view secret, std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int n = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest, &n);
    return hex(digest, truncatedMacBytes);
}

std::string randomHex(int bytes)
{
    std::vector<unsigned char> buf(static_cast<std::size_t>(bytes));
    RAND_bytes(buf.data(), bytes);
    return hex(buf.data(), buf.size());
}

} // namespace goldcrestline::core
