#include <dandelionstall/transport/platform_client.h>

#include <dandelionstall/transport/errors.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <charconv>

namespace dandelionstall::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t MaxBufferedBytes = 131'072; // received and not yet parsed: bounds header, chunk headers and trailers
constexpr std::size_t MaxAnswerBytes = 4'194'304; // 4 MiB, enough for the list of VMs, which is larger than a single value

constexpr auto NoThrow = asio::as_tuple(asio::use_awaitable);

std::uint64_t readIndex(const http::response<http::string_body> &response)
{
    const beast::string_view text = response["X-Consul-Index"];
    std::uint64_t index = 0;
    std::from_chars(text.data(), text.data() + text.size(), index);
    return index;
}

protocol::http_headers readHeaders(const http::response<http::string_body> &response)
{
    protocol::http_headers headers;
    for (const auto &field : response) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

absl::Status makeReadError(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        return makeSocketError(transport_error::too_large, error);
    }
    return makeSocketError(error == beast::error::timeout ? transport_error::silent : transport_error::closed, error);
}

// Binds the socket to the node's address, unless the service's address is of the other IP family.
boost::system::error_code bindLocal(asio::ip::tcp::socket &socket, const asio::ip::tcp::endpoint &remote, const std::string &localIp)
{
    boost::system::error_code error;
    const asio::ip::address local = asio::ip::make_address(localIp, error);
    if (error || local.is_v4() != remote.address().is_v4()) {
        return error;
    }
    if (socket.open(remote.protocol(), error)) {
        return error;
    }
    return socket.bind({local, 0}, error);
}

} // namespace

platform_client::platform_client(state::node_address service, std::string localIp)
    : m_service(std::move(service))
    , m_localIp(std::move(localIp))
{ }

asio::awaitable<absl::StatusOr<platform_answer>> platform_client::get(std::string target, state::time_point deadline) const
{
    absl::StatusOr<platform_answer> answer = co_await getAnyStatus(target, deadline);
    if (answer.ok() && answer->status != static_cast<std::uint32_t>(http::status::ok)) {
        co_return makeError(transport_error::refused, fmt::format("the service answered {} to {}", answer->status, target));
    }
    if (answer.ok() && answer->endsWithConnection) {
        co_return makeError(transport_error::closed, fmt::format("the answer to {} has no length, so that it may be cut", target));
    }
    co_return answer;
}

asio::awaitable<absl::StatusOr<platform_answer>> platform_client::getAnyStatus(std::string target, state::time_point deadline) const
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_at(deadline);
    boost::system::error_code error;
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(m_service.ip, error), m_service.port);
    if (!error) {
        error = bindLocal(stream.socket(), remote, m_localIp);
    }
    if (error) {
        co_return makeSocketError(transport_error::connect, error);
    }
    const auto [connectError] = co_await stream.async_connect(remote, NoThrow);
    if (connectError) {
        co_return makeSocketError(transport_error::connect, connectError);
    }

    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, state::formatNodeAddress(m_service));
    request.keep_alive(false);
    const auto [writeError, written] = co_await http::async_write(stream, request, NoThrow);
    if (writeError) {
        co_return makeSocketError(transport_error::closed, writeError);
    }

    beast::flat_buffer buffer{MaxBufferedBytes};
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    const auto [headError, headBytes] = co_await http::async_read_header(stream, buffer, parser, NoThrow);
    if (headError) {
        co_return makeReadError(headError);
    }
    if (parser.get().result() != http::status::ok) { // the body of any other status is not used
        co_return platform_answer{parser.get().result_int(), readIndex(parser.get()), readHeaders(parser.get()), {}, false};
    }
    const auto [readError, read] = co_await http::async_read(stream, buffer, parser, NoThrow);
    if (readError) {
        co_return makeReadError(readError);
    }
    const bool endsWithConnection = parser.need_eof();
    http::response<http::string_body> response = parser.release();
    co_return platform_answer{response.result_int(), readIndex(response), readHeaders(response), std::move(response.body()), endsWithConnection};
}

} // namespace dandelionstall::transport
