// Packs table texts and differences for the way between nodes: a change of a thousand routes repeats the same few words.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionstall::coordination::detail {

std::string compressBytes(std::string_view bytes);
std::optional<std::string> decompressBytes(std::string_view packed, std::size_t maxBytes); // nothing when broken or longer than that

} // namespace dandelionstall::coordination::detail
