#include <dandelionstall/transport/admin_server.h>

#include <dandelionstall/transport/errors.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <set>
#include <tuple>

namespace dandelionstall::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint32_t StatusBadRequest = 400;
constexpr std::uint32_t StatusNotAllowed = 405;
constexpr std::uint32_t StatusHeaderTooLarge = 431;

using request_parser = http::request_parser<http::empty_body>;
using response = http::response<http::string_body>;

constexpr auto NoThrow = asio::as_tuple(asio::use_awaitable);

} // namespace

// Kept alive by its connections, so that answers that are being written are finished after the server object is destroyed.
class admin_server::listener : public std::enable_shared_from_this<admin_server::listener>
{
public:
    listener(asio::io_context &io, std::vector<admin_handler> handlers, const admin_limits &limits)
        : m_io(io)
        , m_acceptor(io)
        , m_handlers(std::move(handlers))
        , m_limits(limits)
    { }

    absl::Status listen(const state::node_address &address);
    state::node_address address() const;
    void stop();

private:
    struct connection {
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        bool isAnswering = false; // a whole request was received and its answer is not yet sent
    };

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<connection> peer);
    asio::awaitable<bool> serveOne(connection &peer); // false when the connection must close
    response makeResponse(const request_parser &parser, bool isBroken) const;
    admin_answer answerTo(const http::request<http::empty_body> &request) const;

    asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    std::vector<admin_handler> m_handlers;
    admin_limits m_limits;
    std::set<std::shared_ptr<connection>> m_connections;
    bool m_stopping = false;
};

absl::Status admin_server::listener::listen(const state::node_address &address)
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error &error) {
        return makeError(transport_error::connect, fmt::format("admin address {}: {}", formatNodeAddress(address), error.code().message()));
    }
    asio::co_spawn(m_io, [self = shared_from_this()] { return self->accept(); }, asio::detached);
    return absl::OkStatus();
}

state::node_address admin_server::listener::address() const
{
    error_code error;
    const tcp::endpoint endpoint = m_acceptor.local_endpoint(error);
    return {endpoint.address().to_string(), endpoint.port()};
}

void admin_server::listener::stop()
{
    m_stopping = true;
    error_code ignored;
    std::ignore = m_acceptor.close(ignored);
    for (const auto &peer : m_connections) {
        if (!peer->isAnswering) {
            peer->stream.cancel();
        }
    }
}

asio::awaitable<void> admin_server::listener::accept()
{
    const auto self = shared_from_this();
    constexpr auto AcceptPause = std::chrono::milliseconds(100); // pause after an error, e.g. when no file descriptor is free
    asio::steady_timer pause(m_io);
    while (!m_stopping) {
        auto [error, socket] = co_await m_acceptor.async_accept(NoThrow);
        if (m_stopping) {
            co_return;
        }
        if (error) {
            pause.expires_after(AcceptPause);
            co_await pause.async_wait(NoThrow);
            continue;
        }
        if (m_connections.size() >= m_limits.maxConnections) {
            continue; // over the limit: the socket is closed by its destructor
        }
        auto peer = std::make_shared<connection>(connection{beast::tcp_stream(std::move(socket)), {}, false});
        m_connections.insert(peer);
        asio::co_spawn(m_io, serve(std::move(peer)), asio::detached);
    }
}

asio::awaitable<void> admin_server::listener::serve(std::shared_ptr<connection> peer)
{
    const auto self = shared_from_this();
    peer->stream.expires_after(m_limits.requestTimeout);
    while (!m_stopping && co_await serveOne(*peer)) {
        peer->stream.expires_after(m_limits.idleTimeout);
    }
    error_code ignored;
    std::ignore = peer->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_connections.erase(peer);
}

asio::awaitable<bool> admin_server::listener::serveOne(connection &peer)
{
    request_parser parser;
    parser.header_limit(m_limits.maxHeaderBytes);
    parser.body_limit(0);
    auto [readError, readBytes] = co_await http::async_read_some(peer.stream, peer.buffer, parser, NoThrow);
    peer.stream.expires_after(m_limits.requestTimeout); // from the first byte, the rest of the request must arrive within this time
    if (!readError && !parser.is_done()) {
        std::tie(readError, readBytes) = co_await http::async_read(peer.stream, peer.buffer, parser, NoThrow);
    }
    const bool isBroken = readError && readError.category() == beast::http::make_error_code(http::error::end_of_stream).category();
    if (readError && (!isBroken || readError == http::error::end_of_stream || readError == http::error::partial_message)) {
        co_return false;
    }
    peer.isAnswering = true;
    response message = makeResponse(parser, isBroken);
    if (isBroken && readError == http::error::header_limit) {
        message.result(StatusHeaderTooLarge);
    }
    http::response_serializer<http::string_body> serializer(message);
    const bool isHead = !isBroken && parser.get().method() == http::verb::head;
    serializer.split(isHead);
    const auto written
        = isHead ? co_await http::async_write_header(peer.stream, serializer, NoThrow) : co_await http::async_write(peer.stream, serializer, NoThrow);
    peer.isAnswering = false;
    co_return !std::get<0>(written) && message.keep_alive();
}

admin_answer admin_server::listener::answerTo(const http::request<http::empty_body> &request) const
{
    if (request.method() != http::verb::get && request.method() != http::verb::head) {
        return adminError(StatusNotAllowed, "the admin API is read only: use GET or HEAD");
    }
    const auto target = parseAdminTarget(std::string_view(request.target().data(), request.target().size()));
    return target ? dispatchAdminRequest(m_handlers, *target) : adminError(StatusBadRequest, "malformed request target");
}

response admin_server::listener::makeResponse(const request_parser &parser, bool isBroken) const
{
    const admin_answer answer = isBroken ? adminError(StatusBadRequest, "malformed request") : answerTo(parser.get());
    response message(static_cast<http::status>(answer.status), 11);
    message.set(http::field::content_type, answer.contentType);
    message.set(http::field::cache_control, "no-store");
    if (answer.status == StatusNotAllowed) {
        message.set(http::field::allow, "GET, HEAD");
    }
    message.keep_alive(!isBroken && !m_stopping && parser.keep_alive());
    message.body() = answer.body;
    message.prepare_payload();
    return message;
}

admin_server::admin_server(asio::io_context &io, std::vector<admin_handler> handlers, const admin_limits &limits)
    : m_listener(std::make_shared<listener>(io, std::move(handlers), limits))
{ }

admin_server::~admin_server()
{
    stop();
}

absl::Status admin_server::listen(const state::node_address &address)
{
    return m_listener->listen(address);
}

state::node_address admin_server::address() const
{
    return m_listener->address();
}

void admin_server::stop()
{
    m_listener->stop();
}

} // namespace dandelionstall::transport
