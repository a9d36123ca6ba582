// One request of the worker client on one connection. Internal header of worker_client.cpp and worker_answer.cpp.
#pragma once

#include "request_write.h"

#include <dandelionstall/transport/worker_client.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>

namespace dandelionstall::transport {

inline constexpr std::size_t MaxBufferedBytes = 131'072; // received and not yet parsed: bounds chunk headers and trailers
inline constexpr std::uint32_t FirstErrorStatus = 400;

using answer_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

// One request on one connection, and the part of the answer received so far.
struct worker_client::exchange {
    stream_ptr stream;
    std::shared_ptr<detail::request_write> write;
    boost::beast::flat_buffer buffer{MaxBufferedBytes};
    std::unique_ptr<answer_parser> parser;
    protocol::http_headers headers; // end-to-end headers of the answer
    std::uint32_t status = 0;
    answer_fault fault = answer_fault::none; // set where the error of the call does not tell
    bool reused = false;                     // an earlier request was sent on this connection
};

} // namespace dandelionstall::transport
