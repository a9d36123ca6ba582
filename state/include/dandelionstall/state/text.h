// Bridges between std::string_view and the string view of the packaged Abseil, which is a type of its own.
#pragma once

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

#include <string_view>

namespace dandelionstall::state {

inline absl::string_view toAbsl(std::string_view text) // for Abseil parameters
{
    return {text.data(), text.size()};
}

inline std::string_view toStd(absl::string_view text) // for Abseil results
{
    return {text.data(), text.size()};
}

inline std::string_view messageOf(const absl::Status &status) // lives as long as the status
{
    return toStd(status.message());
}

} // namespace dandelionstall::state
