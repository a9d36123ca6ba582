// Tests of coordination/configuration/config_delta.h.
#include <dandelionstall/coordination/configuration/config_delta.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <map>

using namespace dandelionstall::coordination;

namespace {

std::string textOf(const std::map<int, int> &sections)
{
    std::string text = "[table]\nrevision = 1\n";
    for (const auto &[name, value] : sections) {
        text += fmt::format("[route.r{}]\npath = /{}\n", name, value);
    }
    return text;
}

rc::Gen<std::map<int, int>> genSections()
{
    return rc::gen::container<std::map<int, int>>(rc::gen::inRange(0, 60), rc::gen::inRange(0, 4));
}

} // namespace

Test(config_delta, reproduces_the_new_text)
{
    cr_assert(rc::check("applyDelta(before, makeDelta(before, after)) == after", [] {
        const std::string before = textOf(*genSections());
        const std::string after = textOf(*genSections());
        if (const auto delta = makeDelta(before, after)) {
            RC_ASSERT(delta->size() < after.size());
            RC_ASSERT(applyDelta(before, *delta) == after);
        }
    }));
}

Test(config_delta, is_small_for_a_small_change)
{
    std::map<int, int> sections;
    for (int i = 0; i < 12'000; ++i) {
        sections[i] = i;
    }
    const std::string before = textOf(sections);
    sections[777] = 1;
    sections[12'001] = 2;
    sections.erase(5);
    const std::string after = textOf(sections);
    const auto delta = makeDelta(before, after);
    cr_assert(delta.has_value());
    cr_assert(delta->size() < 200);
    cr_assert(applyDelta(before, *delta) == after);
}

Test(config_delta, rejects_malformed_differences)
{
    cr_assert(rc::check("applyDelta() does not crash on any input", [] {
        const auto delta = *rc::gen::string<std::string>();
        applyDelta("[table]\nrevision = 1\n", delta);
    }));
    cr_assert(not(applyDelta("[a]\n", "= 900 1\nx").has_value()));
}
