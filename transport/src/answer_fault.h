// Tells from the error of a call what was wrong with a worker's answer. Internal header of the worker client.
#pragma once

#include <dandelionstall/transport/worker_client.h>

#include <boost/system/error_code.hpp>

namespace dandelionstall::transport::detail {

answer_fault faultOf(const boost::system::error_code &error); // an error of the stream or of the parser; none without error

} // namespace dandelionstall::transport::detail
