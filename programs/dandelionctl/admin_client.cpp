#include "admin_client.h"

#include <dandelionstall/transport/errors.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

namespace dandelionctl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t MaxAnswerBytes = 67'108'864; // 64 MiB
constexpr std::size_t MaxBufferedBytes = 131'072;    // received and not yet parsed: bounds header, chunk headers and trailers

using response_parser = http::response_parser<http::string_body>;

asio::awaitable<void> exchange(beast::tcp_stream &stream, const state::node_address &node, const std::string &target, response_parser &parser)
{
    co_await stream.async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(node.ip), node.port), asio::use_awaitable);
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, formatNodeAddress(node));
    request.set(http::field::connection, "close");
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer{MaxBufferedBytes};
    parser.body_limit(MaxAnswerBytes);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
}

absl::Status makeFetchError(const state::node_address &node, std::string_view reason)
{
    return transport::makeError(transport::transport_error::connect, fmt::format("{}: {}", formatNodeAddress(node), reason));
}

} // namespace

absl::StatusOr<admin_reply> fetchAdmin(const state::node_address &node, const std::string &target, std::chrono::milliseconds timeout)
{
    asio::io_context io(1);
    beast::tcp_stream stream(io);
    stream.expires_after(timeout);
    response_parser parser;
    std::exception_ptr failure;
    asio::co_spawn(io, exchange(stream, node, target, parser), [&failure](std::exception_ptr thrown) { failure = std::move(thrown); });
    io.run();
    try {
        if (failure) {
            std::rethrow_exception(failure);
        }
        return admin_reply{parser.get().result_int(), boost::json::parse(parser.get().body())};
    } catch (const boost::system::system_error &error) {
        return makeFetchError(node, error.code().message());
    } catch (const std::exception &error) {
        return makeFetchError(node, error.what());
    }
}

std::string encodeParameter(std::string_view text)
{
    constexpr std::string_view Plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    std::string encoded;
    for (const char c : text) {
        if (Plain.find(c) != std::string_view::npos) {
            encoded += c;
        } else {
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return encoded;
}

} // namespace dandelionctl
