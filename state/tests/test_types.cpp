// Tests of state/types.h.
#include <dandelionstall/state/types.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

using namespace dandelionstall::state;

Test(types, addresses_round_trip_through_their_text_form)
{
    cr_assert(rc::check("address round trip", [] {
        const auto a = *rc::gen::inRange(0, 256);
        const auto port = *rc::gen::inRange(1, 65'536);
        const node_address address{"10.0." + std::to_string(a) + ".7", static_cast<std::uint16_t>(port)};
        const auto parsed = parseNodeAddress(formatNodeAddress(address));
        RC_ASSERT(parsed.ok());
        RC_ASSERT(*parsed == address);
    }));
}

Test(types, refuses_host_names_and_invalid_ports)
{
    cr_assert(not(parseNodeAddress("localhost:80").ok()));
    cr_assert(not(parseNodeAddress("127.0.0.1").ok()));
    cr_assert(not(parseNodeAddress("127.0.0.1:0").ok()));
    cr_assert(not(parseNodeAddress("127.0.0.1:65536").ok()));
    cr_assert(parseNodeAddress("[::1]:80").ok());
}
