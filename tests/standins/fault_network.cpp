#include "fault_network.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace dandelionstall::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t SegmentBytes = 16 * 1024;
constexpr std::size_t MaxQueuedBytes = 256 * 1024; // queue limit of one direction; reading from the sender stops beyond it
constexpr std::size_t MaxDatagramBytes = 64 * 1024;
constexpr std::chrono::milliseconds CutPollInterval{5};
constexpr std::chrono::milliseconds TargetPollInterval{20};

udp::endpoint datagramEndpoint(const std::string &address)
{
    const tcp::endpoint same = parseEndpoint(address);
    return {same.address(), same.port()};
}

std::string ipOf(const tcp::socket &socket)
{
    boost::system::error_code ignored;
    return socket.remote_endpoint(ignored).address().to_string();
}

void abortSocket(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

std::vector<fault_link> parseFaultLinks(const std::string &text)
{
    std::vector<fault_link> links;
    try {
        const json::value parsed = json::parse(text);
        for (const json::value &entry : parsed.as_array()) {
            links.push_back({json::value_to<std::string>(entry.at("listen")), json::value_to<std::string>(entry.at("target"))});
        }
    } catch (const std::exception &error) {
        throw std::invalid_argument(error.what());
    }
    return links;
}

fault_network::fault_network(asio::io_context &io, std::uint64_t seed)
    : m_io(io)
    , m_random(seed)
{ }

void fault_network::setRules(std::vector<fault_rule> rules)
{
    m_rules = std::move(rules);
}

void fault_network::open(const fault_link &link)
{
    const tcp::endpoint address = parseEndpoint(link.listen);
    auto accepting = std::make_shared<listener>(listener{tcp::acceptor(m_io, address), address, parseEndpoint(link.target)});
    auto datagrams = std::make_shared<udp::socket>(m_io, datagramEndpoint(link.listen));
    asio::co_spawn(m_io, acceptConnections(accepting), asio::detached);
    asio::co_spawn(m_io, receiveDatagrams(datagrams, datagramEndpoint(link.target)), asio::detached);
}

asio::awaitable<http_reply> fault_network::answer(const http_request &request, tcp::socket &)
{
    try {
        if (request.target() == "/rules") {
            setRules(parseFaultRules(request.body()));
            co_return makeReply(http::status::ok, "true\n");
        }
        if (request.target() == "/silence") {
            const json::value body = json::parse(request.body());
            const std::size_t count = silence(json::value_to<std::string>(body.at("from")), json::value_to<std::string>(body.at("to")));
            co_return makeReply(http::status::ok, fmt::format("{}\n", count));
        }
    } catch (const std::exception &error) {
        co_return makeReply(http::status::bad_request, std::string(error.what()) + "\n");
    }
    co_return makeReply(http::status::not_found, "no such command\n");
}

asio::awaitable<void> fault_network::acceptConnections(std::shared_ptr<listener> accepting)
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket caller = co_await accepting->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(m_io, forwardConnection(std::move(caller), accepting), asio::detached);
            continue;
        }
        if (!accepting->acceptor.is_open()) { // forwardConnection() closed it because the target refused a connection
            co_await awaitListening(accepting->target);
            accepting->acceptor = tcp::acceptor(m_io, accepting->address);
        }
    }
}

asio::awaitable<void> fault_network::awaitListening(tcp::endpoint target)
{
    for (;;) {
        tcp::socket probe(m_io);
        boost::system::error_code error;
        co_await probe.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            co_return;
        }
        co_await pauseFor(TargetPollInterval);
    }
}

asio::awaitable<void> fault_network::forwardConnection(tcp::socket caller, std::shared_ptr<listener> accepting)
{
    const tcp::endpoint target = accepting->target;
    const std::string callerIp = ipOf(caller);
    const std::string targetIp = target.address().to_string();
    auto shared = std::make_shared<connection>(connection{callerIp, targetIp, false, std::move(caller), tcp::socket(m_io)});
    m_connections.remove_if([](const std::weak_ptr<connection> &known) { return known.expired(); });
    m_connections.push_back(shared);
    const auto makePipe = [&](tcp::socket &source, tcp::socket &sink, const std::string &from, const std::string &to) {
        return std::make_shared<pipe>(pipe{shared, source, sink, from, to, {}, 0, false, {}, asio::steady_timer(m_io, state::time_point::max())});
    };
    auto forward = makePipe(shared->caller, shared->target, callerIp, targetIp);
    auto backward = makePipe(shared->target, shared->caller, targetIp, callerIp);
    // A TCP handshake needs both directions to be passable.
    const bool reached = co_await awaitPassable(forward) && co_await awaitPassable(backward);
    if (!reached) {
        co_return;
    }
    boost::system::error_code error;
    co_await shared->target.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        abortSocket(shared->caller);
        accepting->acceptor.close(error);
        co_return;
    }
    shared->caller.set_option(tcp::no_delay(true), error);
    shared->target.set_option(tcp::no_delay(true), error);
    for (const auto &direction : {forward, backward}) {
        asio::co_spawn(m_io, readPipe(direction), asio::detached);
        asio::co_spawn(m_io, writePipe(direction), asio::detached);
    }
}

void fault_network::abortUnlessSilent(const connection &owner, tcp::socket &socket)
{
    if (!owner.silent) {
        abortSocket(socket);
    }
}

asio::awaitable<void> fault_network::readPipe(std::shared_ptr<pipe> direction)
{
    std::string buffer(SegmentBytes, '\0');
    boost::system::error_code error;
    while (!direction->ended) {
        const std::size_t count = co_await direction->source.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error && error != asio::error::eof) {
            endPipe(*direction);
            abortUnlessSilent(*direction->owner, direction->sink);
            co_return;
        }
        queueSegment(*direction, buffer.substr(0, count));
        if (error) {
            co_return;
        }
        while (direction->queuedBytes > MaxQueuedBytes && !direction->ended) {
            co_await direction->changed.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }
}

asio::awaitable<void> fault_network::writePipe(std::shared_ptr<pipe> direction)
{
    boost::system::error_code error;
    for (;;) {
        while (direction->segments.empty() && !direction->ended) {
            co_await direction->changed.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        if (direction->segments.empty()) {
            co_return;
        }
        const segment next = std::move(direction->segments.front());
        direction->segments.pop_front();
        asio::steady_timer timer(m_io, next.due);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        const bool passable = co_await awaitPassable(direction);
        direction->queuedBytes -= next.bytes.size();
        direction->changed.cancel();
        if (next.bytes.empty()) {
            if (passable) {
                direction->sink.shutdown(tcp::socket::shutdown_send, error);
            }
            co_return;
        }
        if (!passable) {
            continue;
        }
        co_await asio::async_write(direction->sink, asio::buffer(next.bytes), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            endPipe(*direction);
            abortUnlessSilent(*direction->owner, direction->source);
            co_return;
        }
    }
}

// Stops forwarding in this direction and wakes the coroutines that wait for a change of its queue.
void fault_network::endPipe(pipe &direction)
{
    direction.ended = true;
    direction.segments.clear();
    direction.changed.cancel();
}

asio::awaitable<bool> fault_network::awaitPassable(std::shared_ptr<pipe> direction)
{
    for (;;) {
        if (direction->owner->silent) {
            co_return false;
        }
        const cut_mode cut = conditions(direction->from, direction->to).cut;
        if (cut == cut_mode::none) {
            co_return true;
        }
        if (cut == cut_mode::discard) {
            direction->owner->silent = true;
            co_return false;
        }
        co_await pauseFor(CutPollInterval);
    }
}

asio::awaitable<void> fault_network::receiveDatagrams(std::shared_ptr<udp::socket> socket, udp::endpoint target)
{
    std::string buffer(MaxDatagramBytes, '\0');
    const std::string to = target.address().to_string();
    for (;;) {
        boost::system::error_code error;
        udp::endpoint sender;
        const std::size_t count = co_await socket->async_receive_from(asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        const path_conditions path = conditions(sender.address().to_string(), to);
        if (error || path.cut != cut_mode::none || draw(path.loss, m_random)) {
            continue;
        }
        asio::co_spawn(m_io, sendLater(socket, target, buffer.substr(0, count), drawDelay(path, m_random)), asio::detached);
    }
}

asio::awaitable<void> fault_network::sendLater(std::shared_ptr<udp::socket> socket, udp::endpoint target, std::string bytes, std::chrono::microseconds delay)
{
    if (delay.count() > 0) {
        co_await pauseFor(delay);
    }
    boost::system::error_code ignored;
    co_await socket->async_send_to(asio::buffer(bytes), target, asio::redirect_error(asio::use_awaitable, ignored));
}

void fault_network::queueSegment(pipe &direction, std::string bytes)
{
    const path_conditions path = conditions(direction.from, direction.to);
    if (draw(path.reset, m_random)) {
        abortSocket(direction.source);
        abortSocket(direction.sink);
        return;
    }
    std::chrono::microseconds delay = drawDelay(path, m_random);
    if (draw(path.loss, m_random)) {
        delay += RetransmissionTime;
    }
    if (path.bytesPerSecond > 0) {
        const double seconds = static_cast<double>(bytes.size()) / static_cast<double>(path.bytesPerSecond);
        direction.lastDue += std::chrono::duration_cast<state::duration>(std::chrono::duration<double>(seconds));
    }
    direction.lastDue = std::max(direction.lastDue, state::clock::now() + delay); // keeps the bytes in order
    direction.queuedBytes += bytes.size();
    direction.segments.push_back({std::move(bytes), direction.lastDue});
    direction.changed.cancel();
}

path_conditions fault_network::conditions(const std::string &from, const std::string &to) const
{
    return conditionsOf(m_rules, from, to);
}

std::size_t fault_network::silence(const std::string &from, const std::string &to)
{
    std::size_t count = 0;
    for (const std::weak_ptr<connection> &known : m_connections) {
        const std::shared_ptr<connection> open = known.lock();
        if (open == nullptr || open->silent || !matches(from, open->callerIp) || !matches(to, open->targetIp)) {
            continue;
        }
        open->silent = true;
        ++count;
    }
    return count;
}

} // namespace dandelionstall::standins
