// Differences between two texts of a table, section by section. Pure.
//
// A difference holds the sections that were added or changed, and the names of those removed. It is used only when
// applying it gives exactly the new text; otherwise the whole text travels.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionstall::coordination {

std::uint64_t textDigest(std::string_view text); // as in state::route_table and state::pool_table

std::optional<std::string> makeDelta(std::string_view before, std::string_view after);  // empty when the whole text is better
std::optional<std::string> applyDelta(std::string_view before, std::string_view delta); // empty when it does not fit

} // namespace dandelionstall::coordination
