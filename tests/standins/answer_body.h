// Answer bodies of a stand-in worker. A body is a pattern that depends only on the request id and the length, so that a
// caller can verify that an answer is complete and belongs to its request.
#pragma once

#include <string>
#include <string_view>

namespace dandelionstall::standins {

std::string makeAnswerBody(std::string_view requestId, std::size_t bytes); // returns exactly that many bytes

// Result of comparing a received body with the expected one.
enum class body_verdict {
    own,     // complete body of this request
    short_,  // truncated: a proper prefix of the expected body
    foreign, // any other body, such as that of another request
};

body_verdict verifyAnswerBody(std::string_view requestId, std::size_t bytes, std::string_view body);
std::string_view verdictName(body_verdict verdict); // "own", "short", "foreign"

} // namespace dandelionstall::standins
