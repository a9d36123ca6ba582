// State of one attempt of a request. Internal header of request_attempt.cpp and request_outcome.cpp.
#pragma once

#include "request_handler.h"

#include <xxhash.h>

#include <string>
#include <vector>

namespace dandelionstall {

inline constexpr auto AnswerGrace = std::chrono::milliseconds(150);    // time after the deadline in which the refusal of the sidecar may still arrive
inline constexpr auto QueryRetryDelay = std::chrono::milliseconds(50); // delay before the next outcome query

// The received part of an answer.
struct request_handler::answer_state {
    protocol::answer_head head;                // received answer head; its status is 0 before it is received
    std::string buffered;                      // received body bytes not yet sent to the caller
    coordination::memory_grant memory;         // for `buffered`
    std::uint64_t bodyBytes = 0;               // body bytes received on the current stream
    std::uint64_t skipBytes = 0;               // body bytes still to be skipped on the current stream, since the caller has them from an earlier one
    std::uint64_t sentBytes = 0;               // body bytes sent to the caller
    bool streaming = false;                    // the head was sent to the caller before the answer was complete
    XXH3_state_t *digest = XXH3_createState(); // running digest of the body on the current stream

    answer_state()
    {
        XXH3_64bits_reset(digest);
    }
    ~answer_state()
    {
        XXH3_freeState(digest);
    }
    answer_state(const answer_state &) = delete;
    answer_state &operator=(const answer_state &) = delete;

    void restart() // prepares for the same answer from its start on another stream
    {
        head = {};
        skipBytes = sentBytes;
        bodyBytes = 0;
        buffered.clear();
        XXH3_64bits_reset(digest);
    }
};

struct request_handler::sent_attempt {
    state::attempt_id id;                      // id of the attempt
    std::string worker;                        // worker that the attempt is for
    std::uint64_t lifetime = 0;                // lifetime of the worker, see coordination::worker_report
    state::node_address node;                  // node that the attempt was sent to
    state::node_address contactedNode;         // node at the other end of the current stream: `node`, or a relay for an outcome query
    std::uint32_t queries = 0;                 // number of outcome queries sent or tried
    std::vector<state::node_address> relays;   // third nodes already used for outcome queries
    std::shared_ptr<peer_link> link;           // connection of the current stream
    transport::stream_id stream = -1;          // current stream; negative when it could not be opened
    state::incarnation sidecarIncarnation = 0; // incarnation of the sidecar that the attempt was sent to
    bool tracked = false;                      // the sidecar stores the outcome, so that it can be queried
    bool headArrived = false;                  // an answer head was received on the current stream
    bool recovering = false;                   // the current stream is an outcome query
    answer_state answer;                       // received part of the answer
};

} // namespace dandelionstall
