// Tests of coordination/configuration/config_delta.h.
#include <dandelionstall/coordination/configuration/config_delta.h>
#include <dandelionstall/state/tables.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <map>

using namespace dandelionstall;
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

// Guards against nodes that keep a removed key, or do not learn of a new one, since a difference lacks the rows of organisations.
Test(config_delta, carries_organisations)
{
    cr_assert(rc::check("the table made from a difference has the organisations of the new table", [] {
        const auto textWith = [](const std::map<int, int> &keys) {
            std::string text = "[table]\nrevision = 1\n[callers]\norganisation_keys = yes\n[route.a]\npool = p\nidempotent = no\n";
            for (const auto &[name, key] : keys) {
                text += fmt::format("[organisation.o{}]\nkeys = {:016x}{:016x}\nrate = {}\n", name, name, key, key);
            }
            return text;
        };
        const std::string before = textWith(*genSections());
        const std::string after = textWith(*genSections());
        const auto delta = makeDelta(before, after);
        const auto updated = state::parseRouteTable(delta ? *applyDelta(before, *delta) : after, "r");
        const auto expected = state::parseRouteTable(after, "r");
        RC_ASSERT(updated.ok() && expected.ok());
        RC_ASSERT(updated->organisations == expected->organisations);
        RC_ASSERT(updated->organisationRules.keysRequired);
    }));
}

// Guards against changes of one organisation that cost the bytes of all of them.
Test(config_delta, is_small_for_a_changed_key_among_many_organisations)
{
    std::string text = "[table]\nrevision = 1\n";
    for (int i = 0; i < 75'000; ++i) {
        text += fmt::format("[organisation.o{}]\nkeys = {:032x}, {:032x}\nrate = 190\nburst = 190\n", i, 2 * i, 2 * i + 1);
    }
    const std::string removedKey = fmt::format(", {:032x}", 2 * 41 + 1);
    std::string after = text;
    after.erase(after.find(removedKey), removedKey.size());
    const auto delta = makeDelta(text, after);
    cr_assert(delta.has_value());
    cr_assert(delta->size() < 200);
    cr_assert(applyDelta(text, *delta) == after);
}

Test(config_delta, rejects_malformed_differences)
{
    cr_assert(rc::check("applyDelta() does not crash on any input", [] {
        const auto delta = *rc::gen::string<std::string>();
        applyDelta("[table]\nrevision = 1\n", delta);
    }));
    cr_assert(not(applyDelta("[a]\n", "= 900 1\nx").has_value()));
}
