// Compresses table texts and differences that are sent between nodes. Both are highly repetitive: a change of a thousand
// routes repeats the same few words.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionstall::coordination::detail {

std::string compressBytes(std::string_view bytes);
std::optional<std::string> decompressBytes(std::string_view compressed, std::size_t maxBytes); // empty when malformed or longer than maxBytes

} // namespace dandelionstall::coordination::detail
