// Parses query parameters of HTTP request targets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionstall::standins {

std::string_view queryOf(std::string_view target);                      // returns the text after "?"; empty when there is none
std::string parameterOf(std::string_view query, std::string_view name); // returns the percent-decoded value; empty when absent
std::uint64_t leadingNumber(std::string_view text);                     // returns 0 when the text does not start with a number

} // namespace dandelionstall::standins
