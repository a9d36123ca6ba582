// Version of the node program, shown by --version and the admin API.
#pragma once

#include <string_view>

namespace dandelionstall {

inline constexpr std::string_view Version = "0.1.0";

} // namespace dandelionstall
