// Conversions between std::string_view and absl::string_view, which is a separate type in the packaged Abseil.
#pragma once

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

#include <string_view>

namespace dandelionstall::state {

inline absl::string_view toAbsl(std::string_view text) // converts to a parameter of Abseil functions
{
    return {text.data(), text.size()};
}

inline std::string_view toStd(absl::string_view text) // converts a result of Abseil functions
{
    return {text.data(), text.size()};
}

inline std::string_view messageOf(const absl::Status &status) // the result is valid as long as the status
{
    return toStd(status.message());
}

} // namespace dandelionstall::state
