// Precompiled header: the slow third-party headers of the transport package. Include what you use as well.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nghttp2/nghttp2.h>
