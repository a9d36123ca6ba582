#include <dandelionstall/state/attempts.h>
#include <dandelionstall/state/text.h>

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <utility>
#include <vector>

namespace dandelionstall::state {

namespace {

constexpr std::string_view TicketPrefix = "dst1";
constexpr std::size_t TicketFields = 6; // prefix, worker, incarnation, origin, sequence, expiry

template<typename number>
bool readNumber(std::string_view text, int base, number &value)
{
    const auto result = std::from_chars(text.begin(), text.end(), value, base);
    return !text.empty() && result.ec == std::errc() && result.ptr == text.end();
}

bool isWorkerName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

} // namespace

// [SECTION] Tickets

std::string formatTicket(const ticket &value)
{
    return fmt::format(
        "{}.{}.{:x}.{:x}.{:x}.{:x}", TicketPrefix, value.worker, value.sidecarIncarnation, value.id.origin, value.id.sequence, value.expiresAtMs);
}

absl::StatusOr<ticket> parseTicket(std::string_view text)
{
    const std::vector<std::string> fields = absl::StrSplit(toAbsl(text), '.');
    if (fields.size() != TicketFields || fields[0] != TicketPrefix) {
        return makeError(state_error::malformed, "expected a ticket of the form dst1.<worker>.<incarnation>.<origin>.<sequence>.<expiry>");
    }
    ticket value;
    value.worker = fields[1];
    const bool numbers = readNumber(fields[2], 16, value.sidecarIncarnation) && readNumber(fields[3], 16, value.id.origin)
                         && readNumber(fields[4], 16, value.id.sequence) && readNumber(fields[5], 16, value.expiresAtMs);
    if (!isWorkerName(value.worker) || !numbers) {
        return makeError(state_error::malformed, "invalid field in a ticket, expected a worker id followed by four hexadecimal numbers");
    }
    return value;
}

// [SECTION] Registry

attempt_registry::attempt_registry(const attempt_limits &limits)
    : m_limits(limits)
{ }

begin_verdict attempt_registry::begin(const attempt_id &id, const std::string &ticketId, time_point expiresAt)
{
    if (m_records.contains(id)) {
        return begin_verdict::duplicate;
    }
    if (!ticketId.empty()) {
        const attempt_record *earlier = findByTicket(ticketId);
        if (earlier != nullptr && earlier->phase != attempt_phase::not_run) {
            return begin_verdict::duplicate;
        }
    }
    if (m_records.size() >= m_limits.maxRecords) {
        return begin_verdict::full;
    }
    attempt_record record;
    record.expiresAt = expiresAt;
    record.ticket = ticketId;
    m_records.emplace(id, std::move(record));
    if (!ticketId.empty()) {
        m_tickets[ticketId] = id;
    }
    return begin_verdict::accepted;
}

bool attempt_registry::start(const attempt_id &id)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.phase != attempt_phase::queued) {
        return false;
    }
    found->second.phase = attempt_phase::running;
    return true;
}

void attempt_registry::refuse(const attempt_id &id, std::string_view reason)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.phase != attempt_phase::queued) {
        return;
    }
    found->second.phase = attempt_phase::not_run;
    found->second.refusal = std::string(reason);
}

void attempt_registry::revoke(const attempt_id &id, std::string_view reason)
{
    const auto found = m_records.find(id);
    assert(found != m_records.end() && "revoke() needs an attempt that begin() has accepted");
    assert(found->second.phase == attempt_phase::running && "revoke() needs an attempt in phase running");
    found->second.phase = attempt_phase::not_run;
    found->second.refusal = std::string(reason);
}

void attempt_registry::recordFailure(const attempt_id &id)
{
    const auto found = m_records.find(id);
    if (found != m_records.end() && found->second.phase == attempt_phase::running) {
        found->second.phase = attempt_phase::failed;
    }
}

void attempt_registry::recordAnswer(const attempt_id &id, kept_answer answer)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.phase != attempt_phase::running) {
        return;
    }
    const std::size_t bytes = answer.headers.size() + answer.body.size();
    if (m_keptBytes + bytes > m_limits.maxKeptBytes) {
        answer = kept_answer{answer.status, {}, {}, true};
    } else {
        m_keptBytes += bytes;
    }
    found->second.phase = attempt_phase::answered;
    found->second.answer = std::move(answer);
}

const attempt_record &attempt_registry::findOrFence(const attempt_id &id, time_point expiresAt)
{
    const auto [entry, fenced] = m_records.try_emplace(id);
    if (fenced) {
        entry->second.phase = attempt_phase::not_run;
        entry->second.refusal = "fenced";
        entry->second.expiresAt = expiresAt;
    }
    return entry->second;
}

const attempt_record *attempt_registry::find(const attempt_id &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

const attempt_record *attempt_registry::findByTicket(const std::string &ticketId) const
{
    const auto found = m_tickets.find(ticketId);
    return found == m_tickets.end() ? nullptr : find(found->second);
}

void attempt_registry::acknowledge(const attempt_id &id)
{
    const auto found = m_records.find(id);
    if (found != m_records.end() && found->second.ticket.empty()) {
        dropAnswer(found->second);
    }
}

void attempt_registry::dropAnswer(attempt_record &record)
{
    m_keptBytes -= record.answer.headers.size() + record.answer.body.size();
    record.answer = kept_answer{record.answer.status, {}, {}, true};
}

std::size_t attempt_registry::expire(time_point now)
{
    std::size_t removed = 0;
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        attempt_record &record = entry->second;
        const bool active = record.phase == attempt_phase::queued || record.phase == attempt_phase::running;
        if (active || record.expiresAt > now) {
            ++entry;
            continue;
        }
        dropAnswer(record);
        const auto ticket = m_tickets.find(record.ticket);
        if (ticket != m_tickets.end() && ticket->second == entry->first) {
            m_tickets.erase(ticket);
        }
        entry = m_records.erase(entry);
        ++removed;
    }
    return removed;
}

std::size_t attempt_registry::size() const
{
    return m_records.size();
}

std::size_t attempt_registry::keptBytes() const
{
    return m_keptBytes;
}

} // namespace dandelionstall::state
