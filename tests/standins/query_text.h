// Reads parameters of request targets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionstall::standins {

std::string_view queryOf(std::string_view target);                      // what follows "?"; empty when nothing does
std::string parameterOf(std::string_view query, std::string_view name); // decoded; empty when absent
std::uint64_t leadingNumber(std::string_view text);                     // 0 when there is none

} // namespace dandelionstall::standins
