// Attempt records of a sidecar: the one witness of whether a request was run. Pure; used from one thread.
//
// A record is made before an attempt may start and is kept until its outcome has been acknowledged or has expired.
// Asking for an attempt that is not known fences it: a record that refuses it is left behind, so that a frame still on
// its way cannot start it afterwards. The answer "not run" is therefore a proof.
//
// Tickets name a sidecar, its incarnation and an expiry, and can be used for one run only, whatever the attempt's id.
//
// Index:
//   [SECTION] Records
//   [SECTION] Tickets
//   [SECTION] Registry
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <unordered_map>

namespace dandelionstall::state {

// [SECTION] Records

enum class attempt_phase {
    queued,   // accepted, waiting for a slot
    running,  // handed to the worker
    answered, // the worker's whole answer is known
    failed,   // started, and no whole answer came
    not_run,  // refused or fenced; will never start
};

// An answer kept until the ingress has confirmed that it has it.
struct kept_answer {
    std::uint32_t status = 0; // HTTP status; 0 when none is kept
    std::string headers;      // encoded by the protocol layer
    std::string body;         // whole body
    bool truncated = false;   // too long to keep: the work ran, its answer is lost
};

struct attempt_record {
    attempt_phase phase = attempt_phase::queued;
    time_point expiresAt; // forgotten afterwards; never before the attempt's deadline
    std::string ticket;   // ticket used by the attempt; empty when none
    std::string refusal;  // name of the refusal reason when not_run
    kept_answer answer;   // when answered, unless acknowledged
};

// [SECTION] Tickets

// A right to run one request once, at one sidecar's life.
struct ticket {
    std::string worker;                 // worker id that will run it
    incarnation sidecarIncarnation = 0; // life of the sidecar beside it
    attempt_id id;                      // unique; drawn by the node that gave the ticket out
    std::int64_t expiresAtMs = 0;       // system time in milliseconds since the epoch
};

std::string formatTicket(const ticket &value);             // "dst1.<worker>.<home>.<origin>.<sequence>.<expiry>"
absl::StatusOr<ticket> parseTicket(std::string_view text); // malformed with the reason

// [SECTION] Registry

enum class begin_verdict {
    accepted,  // record made; it may be queued
    duplicate, // this attempt or its ticket has a record already
    full,      // too many records; refused, not run
};

struct attempt_limits {
    std::size_t maxRecords = 65'536;       // records kept at a time
    std::size_t maxKeptBytes = 67'108'864; // bytes of all kept answers
};

class attempt_registry
{
public:
    explicit attempt_registry(const attempt_limits &limits);

    begin_verdict begin(const attempt_id &id, const std::string &ticketId, time_point expiresAt); // makes a record in phase queued
    bool start(const attempt_id &id);                                                             // queued -> running; false when it must not start
    void refuse(const attempt_id &id, std::string_view reason);                                   // queued -> not_run
    void revoke(const attempt_id &id, std::string_view reason);                                   // running -> not_run, on the documented refusal of the worker
    void recordFailure(const attempt_id &id);                                                     // running -> failed
    void recordAnswer(const attempt_id &id, kept_answer answer);                                  // running -> answered
    const attempt_record &findOrFence(const attempt_id &id, time_point expiresAt); // fences an unknown attempt; the reference holds until the next call
    const attempt_record *find(const attempt_id &id) const;                        // nullptr when unknown
    const attempt_record *findByTicket(const std::string &ticketId) const;         // record that used the ticket; nullptr when unused
    void acknowledge(const attempt_id &id); // drops the kept answer unless a ticket may ask for it again; keeps the record
    std::size_t expire(time_point now);     // forgets expired records; returns how many
    std::size_t size() const;
    std::size_t keptBytes() const;

private:
    void dropAnswer(attempt_record &record);

    attempt_limits m_limits;
    std::size_t m_keptBytes = 0;
    std::unordered_map<attempt_id, attempt_record> m_records;
    std::unordered_map<std::string, attempt_id> m_tickets;
};

} // namespace dandelionstall::state
