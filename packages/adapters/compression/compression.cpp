#include "adapters/compression/compression.h"

#include <algorithm>
#include <zlib.h>

namespace goldcrestline::adapters::compression {

namespace {

// Size of the first output buffer as a multiple of the compressed size.
constexpr std::size_t expectedRatio = 8;
constexpr std::size_t minBufferBytes = 1024;

Bytef *asBytes(char *text)
{
    return reinterpret_cast<Bytef *>(text);
}

const Bytef *asBytes(const char *text)
{
    return reinterpret_cast<const Bytef *>(text);
}

} // namespace

std::string compress(std::string_view bytes)
{
    auto n = ::compressBound(bytes.size());
    std::string out(n, '\0');
    // Fails only for want of memory or room, which compressBound() excludes.
    ::compress2(asBytes(out.data()), &n, asBytes(bytes.data()), bytes.size(), Z_BEST_SPEED);
    out.resize(n);
    out.shrink_to_fit();
    return out;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes)
{
    z_stream stream{};
    if (::inflateInit(&stream) != Z_OK)
        return std::nullopt;
    // zlib does not write to its input.
    stream.next_in = const_cast<Bytef *>(asBytes(compressed.data()));
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string out(std::min(maxBytes, std::max(minBufferBytes, expectedRatio * compressed.size())),
                    '\0');
    int status = Z_OK;
    while (status == Z_OK) {
        if (stream.total_out == out.size()) {
            if (out.size() >= maxBytes)
                break;
            out.resize(std::min(maxBytes, 2 * out.size()));
        }
        stream.next_out = asBytes(out.data() + stream.total_out);
        stream.avail_out = static_cast<uInt>(out.size() - stream.total_out);
        status = ::inflate(&stream, Z_NO_FLUSH);
    }
    out.resize(stream.total_out);
    ::inflateEnd(&stream);
    if (status != Z_STREAM_END)
        return std::nullopt;
    return out;
}

} // namespace goldcrestline::adapters::compression
