// Functions that the fuzz targets share: the input as text, and a check that each error names its source.
#pragma once

#include <dandelionstall/state/ini.h>

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace dandelionstall::fuzz {

inline constexpr std::string_view Source = "input";

inline std::string_view asText(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

inline void requireLocation(const absl::Status &status)
{
    if (!status.ok() && !state::reasonOf(status).starts_with("input:")) {
        std::abort();
    }
}

} // namespace dandelionstall::fuzz
