// State of one attempt of a request; shared by request_attempt.cpp and request_outcome.cpp only.
#pragma once

#include "request_handler.h"

#include <xxhash.h>

#include <string>
#include <vector>

namespace dandelionstall {

inline constexpr auto AnswerGrace = std::chrono::milliseconds(150); // the sidecar's own refusal may arrive this late
inline constexpr auto QueryPause = std::chrono::milliseconds(50);   // between tries to ask for an outcome

// The part of an answer that has arrived.
struct request_handler::answer_state {
    protocol::answer_head head;                // status 0 until it came
    std::string buffered;                      // body not yet sent to the caller
    std::uint64_t bodyBytes = 0;               // arrived on the present stream
    std::uint64_t skipBytes = 0;               // of it, already sent to the caller from an earlier stream
    std::uint64_t sentBytes = 0;               // sent to the caller
    bool streaming = false;                    // the head has gone to the caller
    XXH3_state_t *digest = XXH3_createState(); // of the body on the present stream

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

    void restart() // the same answer begins again on another stream
    {
        head = {};
        skipBytes = sentBytes;
        bodyBytes = 0;
        buffered.clear();
        XXH3_64bits_reset(digest);
    }
};

struct request_handler::sent_attempt {
    state::attempt_id id;                      // of the attempt
    state::node_address node;                  // where it went
    state::node_address contactedNode;         // who is asked at present: that node, or a third one for its outcome
    std::uint32_t queries = 0;                 // times its outcome was asked for
    std::vector<state::node_address> relays;   // third nodes asked for it
    std::shared_ptr<peer_link> link;           // on which connection
    transport::stream_id stream = -1;          // on which stream
    state::incarnation sidecarIncarnation = 0; // which life of the sidecar
    bool tracked = false;                      // the sidecar keeps its outcome
    bool headArrived = false;                  // an answer head has come
    bool recovering = false;                   // its outcome is being asked for
    answer_state answer;                       // what has arrived
};

} // namespace dandelionstall
