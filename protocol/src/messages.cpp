#include <dandelionstall/protocol/caller_http.h>
#include <dandelionstall/protocol/messages.h>
#include <dandelionstall/protocol/report_codec.h>

#include <cmath>
#include <fmt/format.h>
#include <node.pb.h>

namespace dandelionstall::protocol {

namespace {

std::int64_t toMicros(state::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

state::time_point fromMicros(std::int64_t micros)
{
    return state::time_point(std::chrono::microseconds(micros));
}

void writeId(const state::attempt_id &id, wire::AttemptId &out)
{
    out.set_origin(id.origin);
    out.set_sequence(id.sequence);
}

state::attempt_id readId(const wire::AttemptId &in)
{
    return {in.origin(), in.sequence()};
}

template<typename wire_message>
void writeHeaders(const http_headers &headers, wire_message &out)
{
    for (const http_header &header : headers) {
        wire::Header *row = out.add_headers();
        row->set_name(header.name);
        row->set_value(header.value);
    }
}

template<typename wire_message>
http_headers readHeaders(const wire_message &in)
{
    http_headers headers;
    headers.reserve(static_cast<std::size_t>(in.headers_size()));
    for (const wire::Header &row : in.headers()) {
        headers.push_back({row.name(), row.value()});
    }
    return headers;
}

template<typename wire_message>
absl::StatusOr<wire_message> parseWire(std::string_view bytes, std::string_view kind)
{
    wire_message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return makeError(protocol_error::malformed_message, fmt::format("{} cannot be parsed", kind));
    }
    return message;
}

coordination::run_state parseRunState(std::string_view name)
{
    if (name == "not_run") {
        return coordination::run_state::not_run;
    }
    return name == "ran" ? coordination::run_state::ran : coordination::run_state::unknown;
}

} // namespace

// [SECTION] Encoding

std::string encode(const attempt_head &message)
{
    wire::AttemptHead out;
    writeId(message.id, *out.mutable_id());
    out.set_worker(message.worker);
    out.set_pool(message.pool);
    out.set_route(message.route);
    out.set_home(message.sidecarIncarnation);
    out.set_deadline_us(toMicros(message.deadline));
    out.set_worth(message.worth);
    out.set_idempotent(message.idempotent);
    out.set_cost_hint_us(static_cast<std::uint64_t>(message.costHint.count()));
    out.set_method(message.method);
    out.set_target(message.target);
    writeHeaders(message.headers, out);
    out.set_ticket(message.ticket);
    out.set_body_bytes(message.bodyBytes);
    out.set_organisation(message.organisation);
    out.set_organisation_rate(message.organisationRate);
    out.set_accepted_risk(message.acceptedRisk);
    if (message.targetAt != state::time_point::max()) {
        out.set_target_at_us(toMicros(message.targetAt));
    }
    out.set_repeat(std::string(coordination::repeatName(message.repeat)));
    out.set_first_sent(message.firstSent);
    if (message.statedRate) {
        out.set_stated_rate(*message.statedRate);
    }
    out.set_lifetime(message.lifetime);
    return out.SerializeAsString();
}

std::string encode(const answer_head &message)
{
    wire::AnswerHead out;
    writeId(message.id, *out.mutable_id());
    out.set_run(std::string(coordination::runStateName(message.run)));
    out.set_refusal(std::string(coordination::reasonName(message.refusal)));
    out.set_status(message.status);
    writeHeaders(message.headers, out);
    out.set_retry_after_us(static_cast<std::uint64_t>(message.retryAfter.count()));
    for (const coordination::worker_report &report : message.reports) {
        writeReport(report, *out.add_reports());
    }
    out.set_better_sibling(message.alternativeWorker);
    out.set_incarnation(message.incarnation);
    return out.SerializeAsString();
}

std::string encode(const answer_end &message)
{
    wire::AnswerEnd out;
    writeId(message.id, *out.mutable_id());
    out.set_body_bytes(message.bodyBytes);
    out.set_digest(message.digest);
    out.set_run_us(static_cast<std::uint64_t>(message.runTime.count()));
    return out.SerializeAsString();
}

std::string encode(const attempt_query &message)
{
    wire::Query out;
    writeId(message.id, *out.mutable_id());
    out.set_expires_us(toMicros(message.expiresAt));
    out.set_home(message.sidecarIncarnation);
    out.set_relay_to(message.relayTo);
    return out.SerializeAsString();
}

std::string encode(const attempt_acknowledge &message)
{
    wire::Acknowledge out;
    writeId(message.id, *out.mutable_id());
    return out.SerializeAsString();
}

std::string encode(const attempt_withdrawal &message)
{
    wire::Withdraw out;
    writeId(message.id, *out.mutable_id());
    out.set_expires_us(toMicros(message.expiresAt));
    return out.SerializeAsString();
}

std::string encode(const clock_request &message)
{
    wire::ClockRequest out;
    out.set_sent_us(message.sentAt);
    return out.SerializeAsString();
}

std::string encode(const clock_reply &message)
{
    wire::ClockReply out;
    out.set_sent_us(message.sentAt);
    out.set_clock_us(toMicros(message.clock));
    out.set_incarnation(message.incarnation);
    return out.SerializeAsString();
}

std::string encodeHeaders(const http_headers &headers)
{
    wire::Headers out;
    writeHeaders(headers, out);
    return out.SerializeAsString();
}

absl::StatusOr<attempt_head> decodeAttemptHead(std::string_view bytes)
{
    const auto in = parseWire<wire::AttemptHead>(bytes, "attempt head");
    if (!in.ok()) {
        return in.status();
    }
    attempt_head message;
    message.id = readId(in->id());
    message.worker = in->worker();
    message.pool = in->pool();
    message.route = in->route();
    message.sidecarIncarnation = in->home();
    message.deadline = fromMicros(in->deadline_us());
    message.worth = in->worth();
    message.idempotent = in->idempotent();
    message.costHint = std::chrono::microseconds(in->cost_hint_us());
    message.method = in->method();
    message.target = in->target();
    message.headers = readHeaders(*in);
    message.ticket = in->ticket();
    message.bodyBytes = in->body_bytes();
    message.organisation = in->organisation();
    message.organisationRate = in->organisation_rate();
    message.acceptedRisk = in->accepted_risk();
    message.targetAt = in->has_target_at_us() ? fromMicros(in->target_at_us()) : state::time_point::max();
    message.repeat = coordination::parseRepeatKind(in->repeat());
    message.firstSent = in->first_sent();
    if (in->has_stated_rate() && in->stated_rate() >= 0.0 && std::isfinite(in->stated_rate())) {
        message.statedRate = in->stated_rate();
    }
    message.lifetime = in->lifetime();
    return message;
}

absl::StatusOr<answer_head> decodeAnswerHead(std::string_view bytes)
{
    const auto in = parseWire<wire::AnswerHead>(bytes, "answer head");
    if (!in.ok()) {
        return in.status();
    }
    answer_head message;
    message.id = readId(in->id());
    message.run = parseRunState(in->run());
    message.refusal = coordination::parseRefusalReason(in->refusal());
    message.status = in->status();
    if (message.status != 0 && !isFinalStatus(message.status)) {
        return makeError(protocol_error::malformed_message, fmt::format("answer head with status {}", message.status));
    }
    message.headers = readHeaders(*in);
    message.retryAfter = std::chrono::microseconds(in->retry_after_us());
    message.alternativeWorker = in->better_sibling();
    message.incarnation = in->incarnation();
    for (const wire::WorkerReport &row : in->reports()) {
        absl::StatusOr<coordination::worker_report> report = readReport(row);
        if (!report.ok()) {
            return report.status();
        }
        message.reports.push_back(*std::move(report));
    }
    return message;
}

absl::StatusOr<answer_end> decodeAnswerEnd(std::string_view bytes)
{
    const auto in = parseWire<wire::AnswerEnd>(bytes, "answer end");
    if (!in.ok()) {
        return in.status();
    }
    return answer_end{readId(in->id()), in->body_bytes(), in->digest(), std::chrono::microseconds(in->run_us())};
}

absl::StatusOr<attempt_query> decodeAttemptQuery(std::string_view bytes)
{
    const auto in = parseWire<wire::Query>(bytes, "query");
    if (!in.ok()) {
        return in.status();
    }
    return attempt_query{readId(in->id()), fromMicros(in->expires_us()), in->home(), in->relay_to()};
}

absl::StatusOr<attempt_acknowledge> decodeAttemptAcknowledge(std::string_view bytes)
{
    const auto in = parseWire<wire::Acknowledge>(bytes, "acknowledgement");
    if (!in.ok()) {
        return in.status();
    }
    return attempt_acknowledge{readId(in->id())};
}

absl::StatusOr<attempt_withdrawal> decodeAttemptWithdrawal(std::string_view bytes)
{
    const auto in = parseWire<wire::Withdraw>(bytes, "withdrawal");
    if (!in.ok()) {
        return in.status();
    }
    return attempt_withdrawal{readId(in->id()), fromMicros(in->expires_us())};
}

absl::StatusOr<clock_request> decodeClockRequest(std::string_view bytes)
{
    const auto in = parseWire<wire::ClockRequest>(bytes, "clock request");
    if (!in.ok()) {
        return in.status();
    }
    return clock_request{in->sent_us()};
}

absl::StatusOr<clock_reply> decodeClockReply(std::string_view bytes)
{
    const auto in = parseWire<wire::ClockReply>(bytes, "clock reply");
    if (!in.ok()) {
        return in.status();
    }
    return clock_reply{in->sent_us(), fromMicros(in->clock_us()), in->incarnation()};
}

absl::StatusOr<http_headers> decodeHeaders(std::string_view bytes)
{
    const auto in = parseWire<wire::Headers>(bytes, "headers");
    if (!in.ok()) {
        return in.status();
    }
    return readHeaders(*in);
}

} // namespace dandelionstall::protocol
