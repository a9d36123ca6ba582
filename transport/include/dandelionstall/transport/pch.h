// Precompiled header with the third-party headers of the transport package that are slow to compile. Sources still
// include what they use.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nghttp2/nghttp2.h>
