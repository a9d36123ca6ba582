#include <dandelionstall/coordination/repeats/repeats.h>

#include <algorithm>
#include <array>

namespace dandelionstall::coordination {

namespace {

constexpr std::array<std::string_view, 4> RepeatNames{"none", "retry", "rerun", "call"}; // indexed by repeat_kind

} // namespace

repeat_kind repeatKindOf(std::uint32_t arrivals, run_state run, bool isCallOfRepeat)
{
    if (arrivals > 0) {
        return run == run_state::not_run ? repeat_kind::retry : repeat_kind::rerun;
    }
    return isCallOfRepeat ? repeat_kind::call : repeat_kind::none;
}

std::string_view repeatName(repeat_kind kind)
{
    return RepeatNames.at(static_cast<std::size_t>(kind));
}

repeat_kind parseRepeatKind(std::string_view name)
{
    const auto found = std::find(RepeatNames.begin(), RepeatNames.end(), name);
    return found == RepeatNames.end() ? repeat_kind::none : static_cast<repeat_kind>(found - RepeatNames.begin());
}

} // namespace dandelionstall::coordination
