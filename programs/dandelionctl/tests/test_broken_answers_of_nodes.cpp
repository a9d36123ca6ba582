// Tests of the built dandelionctl: answers that are cut, that are none in the protocol or that never end, from what listens at a node's address.
#include <raw_worker.h>

#include <criterion/criterion.h>

#include <thread>

#include "tool_run.h"

using namespace dandelionctl::testing;
using namespace dandelionstall::transport::testing;

namespace {

constexpr int ExitUnreachable = 4;
constexpr std::chrono::seconds LongestRun{10};       // the tool's own limit for a call is 3 s
const std::string FewMemory = "ulimit -v 1048576; "; // KB

// Listens like a node and sends the scripted bytes to each call.
class scripted_node
{
public:
    explicit scripted_node(scripted_answer answer)
        : m_worker(m_io, std::move(answer))
        , m_thread([this] { m_io.run(); })
    { }

    ~scripted_node()
    {
        m_io.stop();
        m_thread.join();
    }

    std::string option() const
    {
        return " --node " + formatNodeAddress(m_worker.address());
    }

private:
    asio::io_context m_io{1};
    raw_worker m_worker;
    std::thread m_thread;
};

tool_result readStatus(scripted_answer answer)
{
    const scripted_node node(std::move(answer));
    return runTool("status" + node.option(), FewMemory);
}

std::string repeatText(const std::string &text)
{
    std::string block;
    while (block.size() < 65'536) {
        block += text;
    }
    return block;
}

} // namespace

// Guards against a tool that keeps all bytes of an answer without end, and takes the memory of the operator's machine.
Test(broken_answers_of_nodes, without_end_end_the_call_early)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler = repeatText("a");
    const std::string lines = repeatText("X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n");
    const std::vector<scripted_answer> answers{
        {.bytes = head + "X-Filler: ", .repeated = filler},
        {.bytes = head, .repeated = lines},
        {.bytes = chunked + "1;", .repeated = filler},
        {.bytes = chunked + "1\r\na\r\n0\r\n", .repeated = lines},
        {.bytes = head + "\r\n", .repeated = filler},
        {.bytes = chunked, .repeated = "10000\r\n" + std::string(65'536, 'a') + "\r\n"},
    };
    for (const scripted_answer &answer : answers) {
        const auto startedAt = std::chrono::steady_clock::now();
        const tool_result result = readStatus(answer);
        const std::string seen = answer.bytes + ": exit code " + std::to_string(result.exitCode) + ", " + result.text;
        cr_assert(result.exitCode == ExitUnreachable, "%s", seen.c_str());
        cr_assert(std::chrono::steady_clock::now() - startedAt < LongestRun, "%s", seen.c_str());
    }
}

// An answer is whole only if its JSON is.
Test(broken_answers_of_nodes, that_are_cut_are_errors)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    for (const connection_end end : {connection_end::close, connection_end::reset}) {
        for (const std::string &answer :
             {head + "Content-Length: 100\r\n\r\n{\"node\":", head + "\r\n{\"node\":", head, std::string("HTTP/1.1 102 P\r\n\r\n")}) {
            const tool_result result = readStatus({.bytes = answer, .end = end, .pause = std::chrono::milliseconds(20)});
            cr_assert(result.exitCode == ExitUnreachable, "%s: exit code %d, %s", answer.c_str(), result.exitCode, result.text.c_str());
        }
    }
}

Test(broken_answers_of_nodes, with_a_status_outside_of_the_protocol_are_errors)
{
    for (const char *status : {"000", "099", "600"}) {
        const tool_result result = readStatus({.bytes = std::string("HTTP/1.1 ") + status + " Odd\r\nContent-Length: 2\r\n\r\n{}"});
        cr_assert(result.exitCode != 0, "%s: exit code %d, %s", status, result.exitCode, result.text.c_str());
    }
}
