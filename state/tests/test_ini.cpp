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
        const auto keyBytes = *rc::gen::inRange<std::size_t>(1, MaxIniKeyBytes + 1);
        const auto valueBytes = *rc::gen::element<std::size_t>(*rc::gen::inRange<std::size_t>(1, 600),
                                                               *rc::gen::inRange<std::size_t>(MaxIniLineBytes - 2 * MaxIniKeyBytes, MaxIniLineBytes + 20));
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

// Guards against values that are changed because they are longer than the buffer of the library that splits lines.
Test(ini, keeps_every_byte_of_a_long_value)
{
    cr_assert(rc::check("blanks and characters with a meaning inside of a long value stay", [] {
        const auto words = *rc::gen::container<std::vector<std::string>>(
            40, rc::gen::element<std::string>("a", "bb 10,", "c;d", "#", "=", "[x]", "\"", "e:f", "\xC3\xA4", std::string(70, 'w'), " ", "  ", "\t"));
        std::string value = "v";
        for (const std::string &word : words) {
            value += word;
        }
        value += "v";
        const auto document = parseIni("[s]\nshort = 1\nlong = " + value + " ; comment\nafter = 2 ; comment\n", "t.ini");
        RC_ASSERT(document.ok());
        const std::vector<ini_entry> &entries = document->sections[0].entries;
        RC_ASSERT(entries.size() == 3u);
        RC_ASSERT(entries[1].value == value && entries[1].line == 3u);
        RC_ASSERT(entries[2].value == "2" && entries[2].line == 4u);
    }));
    const std::string longLine = std::string("long = ").append(1000, 'x').append("\n");
    cr_assert(reasonFor("[s]\n" + longLine + "x\n") == "t.ini:3: expected \"<key> = <value>\"", "lines are counted as in the text");
    cr_assert(reasonFor("[s]\n" + longLine + longLine) == "t.ini:3: duplicate key \"long\" in [s]");
    cr_assert(reasonFor("[s]\n" + std::string(MaxIniKeyBytes + 1, 'k') + " = 1\n").starts_with("t.ini:2: the key is 121 bytes long"));
    cr_assert(parseIni("[" + std::string(5000, 'n') + "]\nx = 1\n", "t.ini")->sections[0].name.size() == 5000);
}

// Guards against a table that ends the process: a long line without "=" in its first part, where the section has no key yet.
Test(ini, refuses_long_lines_that_are_no_entry)
{
    const std::string longLine = std::string(300, 'k').append(" # Pools=x\n");
    cr_assert(reasonFor("[s]\n" + longLine) == "t.ini:2: expected \"<key> = <value>\"");
    cr_assert(reasonFor("[s]\na = 1\n" + longLine) == "t.ini:3: expected \"<key> = <value>\"");
    cr_assert(reasonFor(longLine) != "");
}

Test(ini, labels_are_escaped_and_read_back)
{
    cr_assert(escapeLabel("r-hh2b9wu_1.x") == "r-hh2b9wu_1.x");
    cr_assert(escapeLabel("a b]%") == "a%20b%5D%25");
    cr_assert(rc::check("any label comes back", [](const std::string &text) {
        const auto label = parseLabel(escapeLabel(text));
        RC_ASSERT(label.ok() == isLabel(text));
        if (label.ok()) {
            RC_ASSERT(*label == text);
        }
    }));
    for (const std::string_view invalid : {"", "a b", "a]", "%", "%4", "%GG", "a;b", "%00", "%0A"}) {
        cr_assert(not(parseLabel(invalid).ok()), "%s", std::string(invalid).c_str());
    }
    cr_assert(parseLabel("%61").value() == "a");
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
