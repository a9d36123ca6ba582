// Tests of transport/node_session.h over loopback: ordering, independence of streams, refusal and silence.
#include <dandelionstall/transport/node_session.h>

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <optional>

using namespace dandelionstall;
using namespace dandelionstall::transport;
using boost::asio::ip::tcp;

namespace {

constexpr auto Patience = std::chrono::seconds(20); // upper bound of every wait

// Remembers what happened on a stream; credits bytes only when told to.
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
        end = reason;
    }

    node_session *session = nullptr;
    stream_id stream = -1;
    bool creditAll = true;
    std::string data;
    bool peerEnded = false;
    std::optional<stream_close_reason> end;
};

// Two sessions joined over loopback; the server keeps its streams in order of arrival.
struct joined_pair {
    boost::asio::io_context io;
    std::shared_ptr<node_session> client;
    std::shared_ptr<node_session> server;
    std::vector<std::shared_ptr<recorder>> accepted;
    std::vector<stream_id> streams;
    bool refuse = false;

    explicit joined_pair(const session_options &options = {})
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
        const auto giveUpAt = state::clock::now() + Patience;
        while (!reached() && state::clock::now() < giveUpAt) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(50));
        }
        return reached();
    }
};

} // namespace

Test(node_session, bytes_arrive_in_order_and_the_end_is_seen)
{
    joined_pair pair;
    const auto request = pair.open();
    pair.client->write(request->stream, "hello ", false);
    pair.client->write(request->stream, "sidecar", true);
    cr_assert(pair.waitFor([&] { return !pair.accepted.empty() && pair.accepted[0]->peerEnded; }));
    cr_assert(pair.accepted[0]->data == "hello sidecar");
    pair.server->write(pair.streams[0], std::string(1'000'000, 'x'), true);
    cr_assert(pair.waitFor([&] { return request->end.has_value(); }));
    cr_assert(eq(sz, request->data.size(), 1'000'000));
    cr_assert(request->end == stream_close_reason::finished);
}

Test(node_session, a_stream_that_is_not_read_does_not_hold_back_another)
{
    joined_pair pair;
    const auto stuck = pair.open();
    stuck->creditAll = false;
    const auto quick = pair.open();
    pair.client->write(stuck->stream, "a", true);
    pair.client->write(quick->stream, "b", true);
    cr_assert(pair.waitFor([&] { return pair.accepted.size() == 2 && pair.accepted[1]->peerEnded; }));
    pair.server->write(pair.streams[0], std::string(4'000'000, 'x'), true);
    pair.server->write(pair.streams[1], std::string(2'000'000, 'y'), true);
    cr_assert(pair.waitFor([&] { return quick->end.has_value(); }));
    cr_assert(eq(sz, quick->data.size(), 2'000'000));
    cr_assert(not(stuck->end.has_value()));
}

Test(node_session, a_refused_stream_is_told_apart_from_a_broken_one)
{
    joined_pair pair;
    pair.refuse = true;
    const auto request = pair.open();
    pair.client->write(request->stream, "x", true);
    cr_assert(pair.waitFor([&] { return request->end.has_value(); }));
    cr_assert(request->end == stream_close_reason::refused);
}

Test(node_session, a_reset_reaches_the_other_side)
{
    joined_pair pair;
    const auto request = pair.open();
    pair.client->write(request->stream, "x", false);
    cr_assert(pair.waitFor([&] { return !pair.accepted.empty(); }));
    pair.client->reset(request->stream);
    cr_assert(pair.waitFor([&] { return pair.accepted[0]->end.has_value(); }));
    cr_assert(pair.accepted[0]->end == stream_close_reason::reset);
}

Test(node_session, a_silent_connection_is_given_up)
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket near(io);
    near.connect(acceptor.local_endpoint());
    const tcp::socket silent = acceptor.accept(); // reads nothing and answers nothing
    const auto client = node_session::create(std::move(near), session_role::client);
    client->start();
    const auto request = std::make_shared<recorder>();
    client->write(client->open("/attempt", request), "x", true);
    const auto giveUpAt = state::clock::now() + Patience;
    while (!request->end && state::clock::now() < giveUpAt) {
        io.run_one_for(std::chrono::milliseconds(50));
    }
    cr_assert(request->end == stream_close_reason::unresponsive);
    cr_assert(not(client->isOpen()));
}
