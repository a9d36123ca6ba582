// Measures memory and time per attempt record, per message between nodes and per connection to another node, at several
// sizes, so that the growth can be computed. It only prints results and checks no limits.
//
// Usage: bench_path_state [--json]
#include <dandelionstall/protocol/messages.h>
#include <dandelionstall/state/attempts.h>
#include <dandelionstall/transport/node_session.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <malloc.h>

#include <iostream>
#include <string_view>
#include <vector>

using namespace dandelionstall;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t SmallAnswerBytes = 512; // size of the answer kept with a non-idempotent attempt
constexpr int CodecRounds = 20'000;           // messages encoded and decoded per measured time

struct row {
    std::string what;  // what is measured
    std::size_t count; // number of measured objects
    double value;      // value per object
    std::string unit;  // unit of the value
};

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

template<typename work>
double nanosecondsPer(int rounds, work run)
{
    const auto begin = state::clock::now();
    for (int i = 0; i < rounds; ++i) {
        run(i);
    }
    return std::chrono::duration<double, std::nano>(state::clock::now() - begin).count() / rounds;
}

// Returns an attempt with the headers of a typical caller.
protocol::attempt_head makeAttempt(std::uint64_t sequence)
{
    protocol::attempt_head head;
    head.id = {0x1234567890abcdefULL, sequence};
    head.worker = "dressing-order-07";
    head.pool = "dressing-order";
    head.route = "dressing-lookup";
    head.sidecarIncarnation = 1'796'330'939'314ULL;
    head.deadline = state::time_point(std::chrono::seconds(1000));
    head.method = "GET";
    head.target = "/records/wheel/4711?view=full";
    head.headers = {{"Host", "dressing.example"}, {"User-Agent", "outlet/4.2"}, {"Accept", "application/json"}, {"X-Organisation", "outlet-0042"}};
    return head;
}

protocol::answer_head makeAnswer()
{
    protocol::answer_head head;
    head.id = {0x1234567890abcdefULL, 7};
    head.run = coordination::run_state::ran;
    head.status = 200;
    head.headers = {{"Content-Type", "application/json"}, {"Content-Length", "512"}};
    for (int i = 0; i < 3; ++i) {
        coordination::worker_report report;
        report.worker = "dressing-order-07";
        report.pool = "dressing-order";
        report.node = {"10.20.30.40", 7400};
        report.incarnation = 1'796'330'939'314ULL;
        report.version = 100'000;
        report.expectedWait = std::chrono::microseconds(1500);
        report.latency = std::chrono::microseconds(12'000);
        head.reports.push_back(report);
    }
    return head;
}

void measureRecords(std::vector<row> &rows)
{
    for (const std::size_t count : {1'000U, 8'000U, 64'000U}) {
        const std::size_t before = heapBytes();
        state::attempt_registry registry({count + 1, count * (SmallAnswerBytes + 64)});
        const double ns = nanosecondsPer(static_cast<int>(count), [&](int i) {
            const state::attempt_id id{1, static_cast<std::uint64_t>(i) + 1};
            registry.begin(id, {}, state::time_point(std::chrono::seconds(60)));
            registry.start(id);
            registry.recordAnswer(id, {200, {}, std::string(SmallAnswerBytes, 'x'), false});
        });
        rows.push_back(
            {"attempt record with a kept answer of 512 bytes", count, static_cast<double>(heapBytes() - before) / static_cast<double>(count), "bytes"});
        rows.push_back({"begin, start and answer of an attempt", count, ns, "ns"});
        const auto begin = state::clock::now();
        registry.expire(state::time_point(std::chrono::seconds(1)));
        const double sweep = std::chrono::duration<double, std::nano>(state::clock::now() - begin).count();
        rows.push_back({"expiry sweep, per record", count, sweep / static_cast<double>(count), "ns"});
    }
}

void measureMessages(std::vector<row> &rows)
{
    const protocol::attempt_head attempt = makeAttempt(7);
    const protocol::answer_head answer = makeAnswer();
    rows.push_back({"attempt head on the wire", 1, static_cast<double>(protocol::encode(attempt).size()), "bytes"});
    rows.push_back({"answer head with 3 reports on the wire", 1, static_cast<double>(protocol::encode(answer).size()), "bytes"});
    int decoded = 0; // number of decoded messages; also keeps the compiler from removing the calls
    const double attemptNs = nanosecondsPer(CodecRounds, [&](int) { decoded += protocol::decodeAttemptHead(protocol::encode(attempt)).ok() ? 1 : 0; });
    const double answerNs = nanosecondsPer(CodecRounds, [&](int) { decoded += protocol::decodeAnswerHead(protocol::encode(answer)).ok() ? 1 : 0; });
    rows.push_back({"encode and decode an attempt head", 1, attemptNs, "ns"});
    rows.push_back({"encode and decode an answer head", 1, answerNs, "ns"});
    rows.push_back({"messages decoded whole", std::size_t{2} * CodecRounds, static_cast<double>(decoded) / (2 * CodecRounds), "share"});
}

// Both ends of each connection are in this process, so the memory is divided by two.
void measureLinks(std::vector<row> &rows)
{
    for (const std::size_t count : {32U, 128U, 400U}) {
        boost::asio::io_context io;
        tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        std::vector<std::shared_ptr<transport::node_session>> sessions;
        const std::size_t before = heapBytes();
        for (std::size_t i = 0; i < count; ++i) {
            tcp::socket near(io);
            near.connect(acceptor.local_endpoint());
            sessions.push_back(transport::node_session::create(std::move(near), transport::session_role::client));
            sessions.back()->start();
            sessions.push_back(transport::node_session::create(acceptor.accept(), transport::session_role::server));
            sessions.back()->start([](const auto &, transport::stream_id, std::string_view) { return std::shared_ptr<transport::stream_handler>(); });
        }
        io.run_for(std::chrono::milliseconds(200));
        rows.push_back({"one end of a connection between nodes", count, static_cast<double>(heapBytes() - before) / static_cast<double>(2 * count), "bytes"});
        for (const auto &session : sessions) {
            session->close(transport::stream_close_reason::finished);
        }
        io.restart();
        io.run_for(std::chrono::milliseconds(50));
    }
}

void print(const std::vector<row> &rows, bool json)
{
    if (!json) {
        for (const row &entry : rows) {
            std::cout << fmt::format("{:<48} {:>8} {:>12.1f} {}\n", entry.what, entry.count, entry.value, entry.unit);
        }
        return;
    }
    boost::json::array out;
    for (const row &entry : rows) {
        out.push_back({{"what", entry.what}, {"count", entry.count}, {"value", entry.value}, {"unit", entry.unit}});
    }
    std::cout << boost::json::serialize(out) << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<row> rows;
    measureRecords(rows);
    measureMessages(rows);
    measureLinks(rows);
    print(rows, argc > 1 && std::string_view(argv[1]) == "--json");
    return 0;
}
