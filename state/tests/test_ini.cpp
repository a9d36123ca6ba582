// Tests of state/ini.h and state/ini_reader.h.
#include <dandelionstall/state/ini_reader.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

using namespace dandelionstall::state;

namespace {

std::string reasonFor(std::string_view text)
{
    return std::string(reasonOf(parseIni(text, "t.ini").status()));
}

} // namespace

Test(ini, records_the_line_of_each_section_and_key)
{
    const auto document = parseIni("# comment\n\n[a]\nx = 1 ; note\n\n  [b] ; note\n   y=two words\n", "t.ini");
    cr_assert(document.ok());
    cr_assert(document->sections.size() == 2);
    const ini_section &b = document->sections[1];
    cr_assert(document->sections[0].entries[0].value == "1");
    cr_assert(b.name == "b" && b.line == 6 && b.entries[0].line == 7 && b.entries[0].value == "two words");
}

Test(ini, reports_line_and_reason_of_each_error)
{
    cr_assert(reasonFor("[a]\nx\n") == "t.ini:2: expected \"<key> = <value>\"");
    cr_assert(reasonFor("x = 1\n") == "t.ini:1: key \"x\" before the first section header");
    cr_assert(reasonFor("[a]\n[b]\n[a]\n") == "t.ini:3: duplicate section [a]");
    cr_assert(reasonFor("[a]\nx = 1\nx = 2\n") == "t.ini:3: duplicate key \"x\" in [a]");
    cr_assert(reasonFor("[a\n") == "t.ini:1: section header has no closing \"]\"");
    cr_assert(reasonFor("[a] b\n") == "t.ini:1: unexpected text \"b\" after the section header");
    cr_assert(reasonFor(std::string_view("[a]\nx = 1\0 2\n", 13)) == "t.ini:2: line contains a control character");
}

Test(ini, accepts_lines_up_to_the_length_limit_and_refuses_longer_ones)
{
    cr_assert(rc::check("no line is truncated", [] {
        const auto keyBytes = *rc::gen::inRange<std::size_t>(1, 120);
        const auto valueBytes = *rc::gen::inRange<std::size_t>(1, 120);
        const std::string key(keyBytes, 'k');
        const std::string value(valueBytes, 'v');
        const auto document = parseIni("[" + key + "]\n" + key + "=" + value + "\n", "t.ini");
        RC_ASSERT(document.ok() == (keyBytes + valueBytes + 1 <= MaxIniLineBytes));
        if (document.ok()) {
            RC_ASSERT(document->sections[0].name == key);
            RC_ASSERT(document->sections[0].entries[0].key == key);
            RC_ASSERT(document->sections[0].entries[0].value == value);
        }
    }));
}

Test(ini, parses_or_refuses_any_text)
{
    cr_assert(rc::check("any text is parsed or refused with its source", [](const std::string &text) {
        const auto document = parseIni(text, "t.ini");
        RC_ASSERT(document.ok() || reasonOf(document.status()).starts_with("t.ini:"));
    }));
}

Test(ini, parses_durations)
{
    using std::chrono::milliseconds;
    cr_assert(parseDuration("250ms").value() == milliseconds(250));
    cr_assert(parseDuration("2s").value() == milliseconds(2000));
    cr_assert(parseDuration("10min").value() == milliseconds(600'000));
    for (const std::string_view invalid : {"", "5", "s", "-1s", "1.5s", "1h", "99999999999999999999s", "2 000ms"}) {
        cr_assert(not(parseDuration(invalid).ok()));
    }
}

Test(ini, refuses_numbers_outside_their_limits)
{
    cr_assert(parseUnsigned("7", 1, 7).value() == 7);
    cr_assert(not(parseUnsigned("8", 1, 7).ok()));
    cr_assert(not(parseUnsigned("-1", 0, 7).ok()));
    cr_assert(not(parseNumber("nan", 0, 1).ok()));
    cr_assert(not(parseNumber("inf", 0, 1e300).ok()));
    cr_assert(reasonOf(parseNumber("2", 0, 1).status()) == "expected a number from 0 to 1, got \"2\"");
    cr_assert(not(parseFlag("true").ok()));
}

Test(ini, suggests_the_nearest_known_name)
{
    constexpr std::array<std::string_view, 3> Known{"balancer", "ejector", "slots"};
    cr_assert(nearestName("balencer", Known) == "balancer");
    cr_assert(nearestName("slot", Known) == "slots");
    cr_assert(nearestName("zzz", Known).empty());
}
