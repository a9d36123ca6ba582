// Stand-in worker, see worker_service.h. Prints "port=NNNN" when it is ready.
#include "program_options.h"
#include "worker_service.h"

namespace standins = dandelionstall::standins;
namespace options = boost::program_options;

int main(int argc, char **argv)
{
    std::string listen;
    standins::worker_options worker;
    options::options_description description("Options");
    auto add = description.add_options();
    add("listen", options::value(&listen)->default_value("127.0.0.1:0"), "ip:port; port 0 lets the kernel choose");
    add("name", options::value(&worker.name)->default_value("worker"), "sent as X-Worker with each answer");
    add("slots", options::value(&worker.slots)->default_value(3), "number of requests that run concurrently");
    add("echo", options::value(&worker.echoHeader), "request header that each answer repeats");
    add("seal", options::value(&worker.sealHeader), "header set on each answer");
    add("identity", options::value(&worker.identityHeader), "request header with the name of the intended worker");
    add("not-run", options::value(&worker.notRunHeader), "header set on refusals");
    add("rate-limit", options::value(&worker.rateLimitHeader), "header that states the rate limit");
    add("leaving", options::value(&worker.leavingHeader), "header that states the leaving");
    add("calls", options::value(&worker.calls.count)->default_value(0), "number of calls that each run makes");
    add("calls-through", options::value(&worker.calls.node), "ip:port of the node that the calls go through");
    add("call-path", options::value(&worker.calls.path)->default_value("/"), "path of the calls");
    add("calls-name-parents", options::value(&worker.calls.namesParents)->default_value(true), "the id of a call continues the id of its request");
    add("seed", options::value(&worker.seed)->default_value(1), "seed of the random draws of faults");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &) {
        boost::asio::io_context io(1);
        standins::worker_service service(io, worker);
        return standins::runHttpProgram(io, standins::listenOn(io, listen), service);
    });
}
