// Tests of the organisations in state/tables.h, of state/organisation_index.h and of state/key_digest.h.
#include <dandelionstall/state/ini.h>
#include <dandelionstall/state/organisation_index.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <map>

using namespace dandelionstall::state;

namespace {

const std::string Rows = "[table]\nrevision = 3\n[callers]\norganisation_keys = yes\n[route.a]\npool = p\nidempotent = no\n"; // 7 lines

absl::StatusOr<route_table> parseWith(const std::string &rows)
{
    return parseRouteTable(Rows + rows, "r.ini");
}

std::string digestText(const std::string &key)
{
    return formatKeyDigest(digestOfKey(key));
}

std::string reasonFor(const std::string &rows)
{
    const auto parsed = parseWith(rows);
    cr_assert(not parsed.ok(), "%s", rows.c_str());
    return std::string(reasonOf(parsed.status()));
}

} // namespace

Test(organisations, a_digest_is_the_first_half_of_sha_256)
{
    cr_assert(digestText("abc") == "ba7816bf8f01cfea414140de5dae2223");
    cr_assert(digestText("") == "e3b0c44298fc1c149afbf4c8996fb924");
    cr_assert(digestText(" \tabc ") == digestText("abc"));
    cr_assert(digestText("Abc") != digestText("abc") && digestText("abd") != digestText("abc") && digestText("a bc") != digestText("abc"));
    cr_assert(digestText(std::string(8192, 'k')) != digestText(std::string(8191, 'k')));
    cr_assert(parseKeyDigest("BA7816BF8F01CFEA414140DE5DAE2223").value() == digestOfKey("abc"));
    for (const char *text : {"", "abc", "ba7816bf8f01cfea414140de5dae222", "ba7816bf8f01cfea414140de5dae22233", "-a7816bf8f01cfea414140de5dae2223"}) {
        cr_assert(not parseKeyDigest(text).ok(), "%s", text);
    }
}

Test(organisations, reads_organisations_and_fills_defaults)
{
    const auto table = parseWith("public = yes\n[organisation.tag%20desk]\nkeys = " + digestText("k2") + ", " + digestText("k1")
                                 + "\nkeys.1 = " + digestText("k3") + "\npriority = 1\nrate = 190\nburst = 20.5\n[organisation.ferry]\nkeys =\n");
    cr_assert(table.ok(), "%s", std::string(table.status().message()).c_str());
    cr_assert(table->organisationRules.keysRequired && table->routes.front().isPublic && table->organisations.size() == 2);
    const organisation &first = table->organisations.front();
    cr_assert(first.name == "tag desk" && first.keys.size() == 3 && std::is_sorted(first.keys.begin(), first.keys.end()));
    cr_assert(first.priority == 1 && first.rate == 190.0 && first.burst == 20.5);
    const organisation &second = table->organisations.back();
    cr_assert(second.keys.empty() && second.priority == 0 && second.rate == 0.0);
    const auto without = parseRouteTable("[table]\nrevision = 3\n[route.a]\npool = p\nidempotent = no\n", "r.ini");
    cr_assert(not without->organisationRules.keysRequired && not without->routes.front().isPublic);
}

// Guards against keys that reach logs by way of the error about a table with a key in place of its digest.
Test(organisations, errors_name_the_line_and_no_key)
{
    const std::string secret = "sk-live-4711";
    const std::string reason = reasonFor("[organisation.a]\nkeys = " + digestText("k") + ", " + secret + "\n");
    cr_assert(reason.starts_with("r.ini:9: ") && reason.find(secret) == std::string::npos, "%s", reason.c_str());
    cr_assert(reasonFor("[organisation.a]\nrate = 3\n").starts_with("r.ini:8: "));
    const std::string twice = "[organisation.a]\nkeys = " + digestText("k") + "\n[organisation.b]\nkeys = " + digestText("k") + "\n";
    cr_assert(reasonFor(twice) == "r.ini:10: organisation \"b\" has a key of organisation \"a\" in line 8");
    cr_assert(reasonFor("[organisation.a]\nkeys =\n[organisation.%61]\nkeys =\n") == "r.ini:10: organisation \"a\" is also in line 8");
    cr_assert(reasonFor("[organisation.a]\nkeys =\nrate = -1\n").starts_with("r.ini:10: "));
}

// Guards against a key that finds another organisation, or none, for some number of organisations and keys.
Test(organisations, the_index_finds_the_organisation_of_each_key_and_no_other)
{
    cr_assert(rc::check("as a linear search", [] {
        const auto owners
            = *rc::gen::container<std::map<std::uint8_t, std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>(), rc::gen::inRange<std::uint8_t>(0, 12));
        auto table = std::make_shared<route_table>();
        for (std::size_t i = 0; i < 12; ++i) {
            organisation row;
            row.name = fmt::format("o{}", i);
            for (const auto &[key, owner] : owners) {
                if (owner == i) {
                    row.keys.push_back({7, std::uint64_t{key} << 3U}); // many digests begin at the same slot
                }
            }
            std::sort(row.keys.begin(), row.keys.end());
            table->organisations.push_back(row);
        }
        const organisation_index index(table);
        for (int key = 0; key < 256; ++key) {
            const organisation *found = index.find({7, static_cast<std::uint64_t>(key) << 3U});
            const auto owner = owners.find(static_cast<std::uint8_t>(key));
            RC_ASSERT(found == (owner == owners.end() ? nullptr : &table->organisations[owner->second]));
            RC_ASSERT(index.find({8, static_cast<std::uint64_t>(key) << 3U}) == nullptr);
        }
        RC_ASSERT(index.findByName("o7") == &table->organisations[7]);
        RC_ASSERT(index.findByName("o12") == nullptr);
    }));
}
