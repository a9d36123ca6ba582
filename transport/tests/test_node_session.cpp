// Tests of transport/node_session.h over loopback: ordering, independence of streams, refusal and the peer timeout.
#include <dandelionstall/transport/node_session.h>

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <optional>

using namespace dandelionstall;
using namespace dandelionstall::transport;
using boost::asio::ip::tcp;

namespace {

constexpr auto WaitLimit = std::chrono::seconds(20); // upper bound of every wait

// Records the events of a stream; returns flow-control credit only if creditAll is set.
class recorder : public stream_handler
{
public:
    void onData(std::string_view bytes) override
    {
        data.append(bytes);
        if (creditAll && session != nullptr) {
            session->consume(stream, bytes.size());
        }
    }
    void onPeerEnd() override
    {
        peerEnded = true;
    }
    void onWritable() override
    { }
    void onClosed(stream_close_reason reason) override
    {
        closeReason = reason;
    }

    node_session *session = nullptr;
    stream_id stream = -1;
    bool creditAll = true;
    std::string data;
    bool peerEnded = false;
    std::optional<stream_close_reason> closeReason;
};

// Two sessions connected over loopback; the server records its streams in order of arrival.
struct session_pair {
    boost::asio::io_context io;
    std::shared_ptr<node_session> client;
    std::shared_ptr<node_session> server;
    std::vector<std::shared_ptr<recorder>> accepted;
    std::vector<stream_id> streams;
    bool refuse = false;

    explicit session_pair(const session_options &options = {})
    {
        tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        tcp::socket near(io);
        near.connect(acceptor.local_endpoint());
        client = node_session::create(std::move(near), session_role::client, options);
        server = node_session::create(acceptor.accept(), session_role::server, options);
        client->start();
        server->start([this](const std::shared_ptr<node_session> &from, stream_id stream, std::string_view) -> std::shared_ptr<stream_handler> {
            if (refuse) {
                return nullptr;
            }
            auto handler = std::make_shared<recorder>();
            handler->session = from.get();
            handler->stream = stream;
            accepted.push_back(handler);
            streams.push_back(stream);
            return handler;
        });
    }

    std::shared_ptr<recorder> open()
    {
        auto handler = std::make_shared<recorder>();
        handler->session = client.get();
        handler->stream = client->open("/attempt", handler);
        return handler;
    }

    template<typename condition>
    bool waitFor(condition reached)
    {
        const auto deadline = state::clock::now() + WaitLimit;
        while (!reached() && state::clock::now() < deadline) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(50));
        }
        return reached();
    }
};

} // namespace

Test(node_session, delivers_bytes_in_order_and_reports_the_end)
{
    session_pair pair;
    const auto request = pair.open();
    pair.client->write(request->stream, "hello ", false);
    pair.client->write(request->stream, "sidecar", true);
    cr_assert(pair.waitFor([&] { return !pair.accepted.empty() && pair.accepted[0]->peerEnded; }));
    cr_assert(pair.accepted[0]->data == "hello sidecar");
    pair.server->write(pair.streams[0], std::string(1'000'000, 'x'), true);
    cr_assert(pair.waitFor([&] { return request->closeReason.has_value(); }));
    cr_assert(eq(sz, request->data.size(), 1'000'000));
    cr_assert(request->closeReason == stream_close_reason::finished);
}

Test(node_session, unread_stream_does_not_block_another_stream)
{
    session_pair pair;
    const auto unread = pair.open();
    unread->creditAll = false;
    const auto other = pair.open();
    pair.client->write(unread->stream, "a", true);
    pair.client->write(other->stream, "b", true);
    cr_assert(pair.waitFor([&] { return pair.accepted.size() == 2 && pair.accepted[1]->peerEnded; }));
    pair.server->write(pair.streams[0], std::string(4'000'000, 'x'), true);
    pair.server->write(pair.streams[1], std::string(2'000'000, 'y'), true);
    cr_assert(pair.waitFor([&] { return other->closeReason.has_value(); }));
    cr_assert(eq(sz, other->data.size(), 2'000'000));
    cr_assert(not(unread->closeReason.has_value()));
}

Test(node_session, reports_a_refused_stream_as_refused)
{
    session_pair pair;
    pair.refuse = true;
    const auto request = pair.open();
    pair.client->write(request->stream, "x", true);
    cr_assert(pair.waitFor([&] { return request->closeReason.has_value(); }));
    cr_assert(request->closeReason == stream_close_reason::refused);
}

Test(node_session, reset_closes_the_stream_at_the_peer)
{
    session_pair pair;
    const auto request = pair.open();
    pair.client->write(request->stream, "x", false);
    cr_assert(pair.waitFor([&] { return !pair.accepted.empty(); }));
    pair.client->reset(request->stream);
    cr_assert(pair.waitFor([&] { return pair.accepted[0]->closeReason.has_value(); }));
    cr_assert(pair.accepted[0]->closeReason == stream_close_reason::reset);
}

Test(node_session, closes_an_unresponsive_connection)
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket near(io);
    near.connect(acceptor.local_endpoint());
    const tcp::socket unresponsive = acceptor.accept(); // never reads and never answers
    const auto client = node_session::create(std::move(near), session_role::client);
    client->start();
    const auto request = std::make_shared<recorder>();
    client->write(client->open("/attempt", request), "x", true);
    const auto deadline = state::clock::now() + WaitLimit;
    while (!request->closeReason && state::clock::now() < deadline) {
        io.run_one_for(std::chrono::milliseconds(50));
    }
    cr_assert(request->closeReason == stream_close_reason::unresponsive);
    cr_assert(not(client->isOpen()));
}

// Guards against a connection that carries no answer any more, for good, after many callers have left their downloads.
Test(node_session, streams_that_are_left_do_not_use_up_the_window_of_the_connection)
{
    constexpr std::size_t LeftBytes = 200'000; // of each stream, below its window
    session_options options;
    options.connectionWindow = 1'000'000;
    for (const bool reset : {true, false}) {
        session_pair pair(options);
        for (std::size_t i = 0; i < 12; ++i) {
            const auto left = pair.open();
            left->creditAll = false;
            pair.client->write(left->stream, "x", true);
            cr_assert(pair.waitFor([&] { return pair.accepted.size() == i + 1 && pair.accepted[i]->peerEnded; }));
            pair.server->write(pair.streams[i], std::string(LeftBytes, 'x'), !reset);
            cr_assert(pair.waitFor([&] { return left->data.size() == LeftBytes; }), "stream %zu received %zu bytes", i, left->data.size());
            if (reset) {
                pair.client->reset(left->stream);
            }
            cr_assert(pair.waitFor([&] { return left->closeReason.has_value(); }));
        }
    }
}

// Guards against slow callers that hold up the answers to all others between two nodes.
Test(node_session, many_unread_streams_do_not_block_another_stream)
{
    constexpr std::size_t UnreadStreams = 100;
    session_options options;
    options.connectionWindow = 1'000'000;
    session_pair pair(options);
    std::vector<std::shared_ptr<recorder>> opened;
    for (std::size_t i = 0; i <= UnreadStreams; ++i) {
        opened.push_back(pair.open());
        opened[i]->creditAll = i == UnreadStreams;
        pair.client->write(opened[i]->stream, "x", true);
    }
    cr_assert(pair.waitFor([&] { return pair.accepted.size() == UnreadStreams + 1 && pair.accepted.back()->peerEnded; }));
    for (std::size_t i = 0; i <= UnreadStreams; ++i) {
        pair.server->write(pair.streams[i], std::string(300'000, 'x'), true);
    }
    cr_assert(pair.waitFor([&] { return opened.back()->closeReason.has_value(); }), "%zu bytes received", opened.back()->data.size());
    cr_assert(eq(sz, opened.back()->data.size(), 300'000));
    cr_assert(not(opened[0]->closeReason.has_value()));
    cr_assert(le(sz, opened[0]->data.size(), static_cast<std::size_t>(options.streamWindow)));
}
