#include <dandelionstall/coordination/reasons.h>

#include <array>
#include <utility>

namespace dandelionstall::coordination {

namespace {

constexpr std::array RefusalNames{
    std::pair{refusal_reason::none, "none"},
    std::pair{refusal_reason::no_route, "no_route"},
    std::pair{refusal_reason::bad_request, "bad_request"},
    std::pair{refusal_reason::body_too_large, "body_too_large"},
    std::pair{refusal_reason::caller_limit, "caller_limit"},
    std::pair{refusal_reason::memory_full, "memory_full"},
    std::pair{refusal_reason::unknown_key, "unknown_key"},
    std::pair{refusal_reason::organisation_limit, "organisation_limit"},
    std::pair{refusal_reason::queue_full, "queue_full"},
    std::pair{refusal_reason::low_worth, "low_worth"},
    std::pair{refusal_reason::deadline_unreachable, "deadline_unreachable"},
    std::pair{refusal_reason::expired_in_queue, "expired_in_queue"},
    std::pair{refusal_reason::draining, "draining"},
    std::pair{refusal_reason::no_capacity, "no_capacity"},
    std::pair{refusal_reason::late_frame, "late_frame"},
    std::pair{refusal_reason::stale_incarnation, "stale_incarnation"},
    std::pair{refusal_reason::duplicate_attempt, "duplicate_attempt"},
    std::pair{refusal_reason::worker_shed, "worker_shed"},
    std::pair{refusal_reason::worker_unreachable, "worker_unreachable"},
    std::pair{refusal_reason::worker_limited, "worker_limited"},
    std::pair{refusal_reason::worker_at_risk, "worker_at_risk"},
    std::pair{refusal_reason::retry_budget_empty, "retry_budget_empty"},
    std::pair{refusal_reason::cancelled, "cancelled"},
    std::pair{refusal_reason::path_down, "path_down"},
    std::pair{refusal_reason::not_ready, "not_ready"},
    std::pair{refusal_reason::unknown_outcome, "unknown_outcome"},
};

constexpr std::array RetryNames{
    std::pair{retry_reason::none, "none"},
    std::pair{retry_reason::refused, "refused"},
    std::pair{retry_reason::connect_failed, "connect_failed"},
    std::pair{retry_reason::stream_refused, "stream_refused"},
    std::pair{retry_reason::worker_refused, "worker_refused"},
    std::pair{retry_reason::worker_failed, "worker_failed"},
    std::pair{retry_reason::cut_answer, "cut_answer"},
    std::pair{retry_reason::path_silent, "path_silent"},
};

template<typename table, typename reason>
std::string_view findName(const table &names, reason wanted)
{
    for (const auto &[value, name] : names) {
        if (value == wanted) {
            return name;
        }
    }
    return "none";
}

} // namespace

run_state combineRunStates(run_state earlier, run_state later)
{
    if (earlier == run_state::ran || later == run_state::ran) {
        return run_state::ran;
    }
    return earlier == run_state::unknown ? earlier : later;
}

std::string_view reasonName(refusal_reason reason)
{
    return findName(RefusalNames, reason);
}

std::string_view reasonName(retry_reason reason)
{
    return findName(RetryNames, reason);
}

std::string_view runStateName(run_state run)
{
    switch (run) {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        return "unknown";
    }
    return "unknown";
}

refusal_reason parseRefusalReason(std::string_view name)
{
    for (const auto &[value, text] : RefusalNames) {
        if (name == text) {
            return value;
        }
    }
    return refusal_reason::none;
}

} // namespace dandelionstall::coordination
