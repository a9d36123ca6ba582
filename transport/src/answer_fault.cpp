#include "answer_fault.h"

#include <boost/beast/http/error.hpp>

namespace dandelionstall::transport {

namespace http = boost::beast::http;

std::string_view faultName(answer_fault fault)
{
    switch (fault) {
    case answer_fault::none:
        return "none";
    case answer_fault::broken_off:
        return "broken_off";
    case answer_fault::malformed:
        return "malformed";
    case answer_fault::bad_status:
        return "bad_status";
    case answer_fault::bad_coding:
        return "bad_coding";
    case answer_fault::too_long:
        return "too_long";
    case answer_fault::misplaced:
        return "misplaced";
    case answer_fault::unproven:
        return "unproven";
    }
    return "none";
}

answer_fault detail::faultOf(const boost::system::error_code &error)
{
    const bool isOfParser = error.category() == make_error_code(http::error::bad_status).category();
    if (!error) {
        return answer_fault::none;
    }
    if (!isOfParser || error == http::error::partial_message || error == http::error::end_of_stream) {
        return answer_fault::broken_off;
    }
    if (error == http::error::bad_status) {
        return answer_fault::bad_status;
    }
    if (error == http::error::bad_transfer_encoding) {
        return answer_fault::bad_coding;
    }
    if (error == http::error::header_limit || error == http::error::body_limit || error == http::error::buffer_overflow) {
        return answer_fault::too_long;
    }
    return answer_fault::malformed;
}

} // namespace dandelionstall::transport
