#include "answer_body.h"

#include <fmt/format.h>

#include <iterator>

namespace dandelionstall::standins {

std::string makeAnswerBody(std::string_view requestId, std::size_t bytes)
{
    std::string body;
    body.reserve(bytes + requestId.size() + 24);
    for (std::size_t block = 0; body.size() < bytes; ++block) {
        fmt::format_to(std::back_inserter(body), "{}#{} ", requestId, block);
    }
    body.resize(bytes);
    return body;
}

body_verdict verifyAnswerBody(std::string_view requestId, std::size_t bytes, std::string_view body)
{
    const std::string expected = makeAnswerBody(requestId, bytes);
    if (body == expected) {
        return body_verdict::own;
    }
    const bool prefix = body.size() < expected.size() && std::string_view(expected).substr(0, body.size()) == body;
    return prefix ? body_verdict::short_ : body_verdict::foreign;
}

std::string_view verdictName(body_verdict verdict)
{
    switch (verdict) {
    case body_verdict::own:
        return "own";
    case body_verdict::short_:
        return "short";
    case body_verdict::foreign:
        return "foreign";
    }
    return "foreign";
}

} // namespace dandelionstall::standins
