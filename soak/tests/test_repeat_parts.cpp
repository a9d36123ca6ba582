// Tests of soak/repeat_parts.h.
#include "repeat_parts.h"

#include <criterion/criterion.h>

using namespace dandelionstall::soak;

namespace {

std::string lineAt(const std::string &time, const std::string &fields)
{
    return "2026-01-01T00:00:" + time + "Z INFO node=n event=1 name=" + fields + "\n";
}

std::string changeAt(const std::string &time, const std::string &worker, const std::string &part)
{
    return lineAt(time, "repeat_part_changed pool=a worker=" + worker + " workers=2 part=" + part);
}

} // namespace

Test(repeat_parts, adds_up_the_parts_of_all_sidecars_at_each_moment)
{
    const std::string first = changeAt("01.000", "w1", "31.000") + changeAt("03.000", "w1", "20.000");
    const std::string second = changeAt("02.000", "w2", "31.000") + changeAt("04.000", "w2", "42.000");
    cr_assert_float_eq(largestSumOfParts({first, second}).at("a"), 62.0, 0.001);
}

Test(repeat_parts, a_process_that_starts_has_no_part)
{
    const std::string restarted = changeAt("01.000", "w1", "31.000") + lineAt("02.000", "node_started listen=x") + changeAt("04.000", "w1", "31.000");
    const std::string other = changeAt("03.000", "w2", "31.000");
    cr_assert_float_eq(largestSumOfParts({restarted, other}).at("a"), 62.0, 0.001);
}
