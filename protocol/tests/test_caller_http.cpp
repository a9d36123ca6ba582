// Tests of protocol/caller_http.h.
#include <dandelionstall/protocol/caller_http.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall;
using namespace dandelionstall::protocol;

Test(caller_http, hop_by_hop_headers_are_not_forwarded)
{
    const http_headers headers{{"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"TE", "trailers"}, {"Transfer-Encoding", "chunked"}, {"Accept", "*/*"}};
    const http_headers forwarded = endToEndHeaders(headers);
    cr_assert(eq(sz, forwarded.size(), 1));
    cr_assert(forwarded.front() == (http_header{"Accept", "*/*"}));
}

Test(caller_http, a_path_has_no_query_and_no_authority)
{
    cr_assert(pathOf("/a/b?c=d") == "/a/b");
    cr_assert(pathOf("http://host:80/a?b") == "/a");
    cr_assert(pathOf("http://host") == "/");
    cr_assert(authorityOf("http://user@host:80/a?b") == "host:80");
    cr_assert(authorityOf("http://host") == "host");
    cr_assert(authorityOf("/a?u=http://other/b").empty());
    cr_assert(hostWithoutPort("Example.org:80") == "Example.org");
    cr_assert(hostWithoutPort("[::1]:80") == "[::1]");
}

Test(caller_http, a_refusal_states_reason_run_state_and_retry_delay)
{
    const caller_refusal refusal{coordination::refusal_reason::queue_full, coordination::run_state::not_run, std::chrono::milliseconds(640)};
    cr_assert(eq(u32, httpStatusOf(refusal), 503));
    cr_assert(eq(u64, retryAfterSeconds(refusal), 1));
    cr_assert(jsonBodyOf(refusal) == "{\"reason\":\"queue_full\",\"run\":\"not_run\",\"retry_after_ms\":640}\n");
}

Test(caller_http, a_request_that_may_have_run_is_answered_with_502)
{
    const caller_refusal refusal{coordination::refusal_reason::path_down, coordination::run_state::unknown, std::chrono::milliseconds(0)};
    cr_assert(eq(u32, httpStatusOf(refusal), 502));
}

Test(caller_http, only_statuses_of_the_protocol_are_those_of_answers)
{
    for (std::uint32_t status = 0; status < 1100; ++status) {
        cr_assert(isFinalStatus(status) == (status >= 200 && status < 600), "%u", status);
        cr_assert(isInterimStatus(status) == (status >= 100 && status < 200 && status != 101), "%u", status);
    }
}

// Guards against a key or a name of an organisation that reaches a worker in a header that the worker takes for the removed one.
Test(caller_http, removes_all_headers_that_can_be_taken_for_a_name)
{
    http_headers headers{{"Api-Key", "a"}, {"api_key", "b"}, {"Accept", "*/*"}, {"API-KEY", "c"}, {"X-Api-Key", "d"}, {"Api-Key2", "e"}, {"ApiKey", "f"}};
    const std::vector<std::string_view> values = findHeaders(headers, "Api-Key");
    cr_assert(eq(sz, values.size(), 2));
    cr_assert(values[0] == "a" and values[1] == "c");
    removeHeaders(headers, "Api-Key");
    const http_headers expected{{"Accept", "*/*"}, {"X-Api-Key", "d"}, {"Api-Key2", "e"}, {"ApiKey", "f"}};
    cr_assert(headers == expected);
    removeHeaders(headers, "");
    cr_assert(headers == expected);
}

// Guards against callers that wait and send again, although a later request is refused as well.
Test(caller_http, a_request_without_a_known_key_is_answered_with_401_and_no_delay)
{
    const caller_refusal refusal{coordination::refusal_reason::unknown_key, coordination::run_state::not_run, std::chrono::milliseconds(0)};
    cr_assert(eq(u32, httpStatusOf(refusal), 401));
    cr_assert(jsonBodyOf(refusal) == "{\"reason\":\"unknown_key\",\"run\":\"not_run\"}\n");
}
