// The answer body of a stand-in worker: a pattern that depends on the request id and the length alone, so that a caller
// can verify that an answer is whole and its own.
#pragma once

#include <string>
#include <string_view>

namespace dandelionstall::standins {

std::string makeAnswerBody(std::string_view requestId, std::size_t bytes); // exactly that many bytes

// What a caller got, judged by its body.
enum class body_verdict {
    own,     // whole and made for this request
    short_,  // a proper prefix of the own body
    foreign, // anything else
};

body_verdict verifyAnswerBody(std::string_view requestId, std::size_t bytes, std::string_view body);
std::string_view verdictName(body_verdict verdict); // "own", "short", "foreign"

} // namespace dandelionstall::standins
