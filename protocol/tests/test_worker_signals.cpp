// Tests of protocol/worker_signals.h.
#include <dandelionstall/protocol/worker_signals.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall;
using namespace dandelionstall::protocol;

namespace {

worker_signals readRate(const std::string &value)
{
    return readWorkerSignals({{"x-worker-rate-limit", value}}, state::header_names{});
}

} // namespace

Test(worker_signals, reads_plain_decimal_numbers)
{
    cr_assert(readRate("1.3").rateLimit == 1.3);
    cr_assert(readRate("12").rateLimit == 12.0);
    cr_assert(readRate("0").rateLimit == 0.0);
    cr_assert(readRate("1000000").rateLimit == MaxRateLimit);
    cr_assert(readRate("1.3").invalid.empty());
    cr_assert(readWorkerSignals({{"X-Worker-Leaving", "1"}}, state::header_names{}).leaving);
}

Test(worker_signals, a_value_that_cannot_be_used_states_nothing_and_is_named)
{
    for (const char *value : {"-1", "+1", "", "many", "1e9", "nan", "inf", "1000001", "1.5.2", "1 ", "0x10", "99999999999999999999999999999", ".", "1,2"}) {
        const worker_signals signals = readRate(value);
        cr_assert(not signals.rateLimit, "%s", value);
        cr_assert(signals.invalid.starts_with("X-Worker-Rate-Limit: "), "%s: %s", value, signals.invalid.c_str());
    }
    const worker_signals twice = readWorkerSignals({{"X-Worker-Rate-Limit", "2"}, {"X-Worker-Rate-Limit", "2"}}, state::header_names{});
    cr_assert(not twice.rateLimit && not twice.invalid.empty());
    const worker_signals leaving = readWorkerSignals({{"X-Worker-Leaving", "yes"}}, state::header_names{});
    cr_assert(not leaving.leaving && leaving.invalid == "X-Worker-Leaving: yes");
    const worker_signals longValue = readRate(std::string(10'000, '9'));
    cr_assert(longValue.invalid.size() < 100);
}

Test(worker_signals, headers_without_a_name_are_not_read)
{
    state::header_names names;
    names.rateLimit.clear();
    names.leaving.clear();
    const worker_signals signals = readWorkerSignals({{"", "2"}, {"X-Worker-Rate-Limit", "2"}, {"X-Worker-Leaving", "1"}}, names);
    cr_assert(not signals.rateLimit && not signals.leaving && signals.invalid.empty());
}
