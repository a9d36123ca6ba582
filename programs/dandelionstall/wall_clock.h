// System time for values that stay valid after a process restart: tickets and incarnations. Everything else uses the steady clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace dandelionstall {

inline std::int64_t systemNowMs() // milliseconds since the Unix epoch
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace dandelionstall
