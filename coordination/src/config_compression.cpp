#include "config_compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace dandelionstall::coordination::detail {

namespace {

constexpr int Level = 3; // most of the gain at little processor time
constexpr std::size_t PartBytes = 65'536;

// zlib's input pointer is not const, although it is only read.
Bytef *inputOf(std::string_view bytes)
{
    return reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
}

} // namespace

std::string compressBytes(std::string_view bytes)
{
    uLongf length = compressBound(static_cast<uLong>(bytes.size()));
    std::string packed(length, '\0');
    const int code = compress2(reinterpret_cast<Bytef *>(packed.data()), &length, inputOf(bytes), static_cast<uLong>(bytes.size()), Level);
    packed.resize(code == Z_OK ? length : 0); // it fails only without memory; nothing is taken from empty bytes
    return packed;
}

std::optional<std::string> decompressBytes(std::string_view packed, std::size_t maxBytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        return std::nullopt;
    }
    stream.next_in = inputOf(packed);
    stream.avail_in = static_cast<uInt>(packed.size());
    std::string bytes;
    std::string part(PartBytes, '\0');
    int code = Z_OK;
    while (code == Z_OK && bytes.size() <= maxBytes) {
        stream.next_out = reinterpret_cast<Bytef *>(part.data());
        stream.avail_out = static_cast<uInt>(part.size());
        code = inflate(&stream, Z_NO_FLUSH);
        bytes.append(part, 0, part.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    const bool whole = code == Z_STREAM_END && bytes.size() <= maxBytes;
    return whole ? std::optional(std::move(bytes)) : std::nullopt;
}

} // namespace dandelionstall::coordination::detail
