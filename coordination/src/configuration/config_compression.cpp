#include "config_compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace dandelionstall::coordination::detail {

namespace {

constexpr int CompressionLevel = 3; // most of the size reduction at low CPU cost
constexpr std::size_t OutputBufferBytes = 65'536;

// zlib declares its input pointer without const, but only reads from it.
Bytef *inputOf(std::string_view bytes)
{
    return reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
}

} // namespace

std::string compressBytes(std::string_view bytes)
{
    uLongf length = compressBound(static_cast<uLong>(bytes.size()));
    std::string compressed(length, '\0');
    const int code = compress2(reinterpret_cast<Bytef *>(compressed.data()), &length, inputOf(bytes), static_cast<uLong>(bytes.size()), CompressionLevel);
    compressed.resize(code == Z_OK ? length : 0); // compress2 fails only when out of memory; decompressBytes() rejects the empty result
    return compressed;
}

std::optional<std::string> decompressBytes(std::string_view compressed, std::size_t maxBytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        return std::nullopt;
    }
    stream.next_in = inputOf(compressed);
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string bytes;
    std::string buffer(OutputBufferBytes, '\0');
    int code = Z_OK;
    while (code == Z_OK && bytes.size() <= maxBytes) {
        stream.next_out = reinterpret_cast<Bytef *>(buffer.data());
        stream.avail_out = static_cast<uInt>(buffer.size());
        code = inflate(&stream, Z_NO_FLUSH);
        bytes.append(buffer, 0, buffer.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    const bool isComplete = code == Z_STREAM_END && bytes.size() <= maxBytes;
    return isComplete ? std::optional(std::move(bytes)) : std::nullopt;
}

} // namespace dandelionstall::coordination::detail
