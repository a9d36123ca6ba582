// Computes and applies the difference between two texts of a table, section by section. Pure.
//
// A difference contains the sections that were added or changed and the names of the removed ones. It is used only when it is
// shorter than the new text and applying it gives exactly that text; otherwise the whole text is sent.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionstall::coordination {

std::uint64_t textDigest(std::string_view text); // same hash as the digest of state::route_table and state::pool_table

std::optional<std::string> makeDelta(std::string_view before, std::string_view after);  // empty when the whole text must be sent
std::optional<std::string> applyDelta(std::string_view before, std::string_view delta); // empty when the difference is malformed

} // namespace dandelionstall::coordination
