// Stand-in worker, see worker_service.h. Prints "port=NNNN" when it is ready.
#include "program_options.h"
#include "worker_announcer.h"
#include "worker_service.h"

namespace standins = dandelionstall::standins;
namespace options = boost::program_options;

int main(int argc, char **argv)
{
    std::string listen;
    standins::worker_options worker;
    standins::announcement announced;
    std::int64_t callCostMs = 0;
    std::int64_t callLongestMs = 0;
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
    add("calls-together", options::bool_switch(&worker.calls.together), "all calls of a run are made at once");
    add("call-cost-ms", options::value(&callCostMs)->default_value(0), "run time of each call");
    add("call-longest-ms", options::value(&callLongestMs)->default_value(0), "most time that a call may take; 0: what its run has left");
    add("call-host", options::value(&worker.calls.host)->default_value(worker.calls.host), "Host header of each call");
    add("id", options::value(&worker.idHeader)->default_value(worker.idHeader), "request header with the id");
    add("time-left", options::value(&worker.timeLeftHeader)->default_value(worker.timeLeftHeader), "request header with the milliseconds left");
    add("max-waiting", options::value(&worker.maxWaiting)->default_value(0), "requests that wait for a slot; more are refused; 0: any number");
    add("stay", options::value(&worker.stayShare)->default_value(0), "share of the runs that go on when their caller has gone");
    add("errors", options::value(&worker.errorShare)->default_value(0), "share of the runs that end with status 500");
    add("store", options::value(&announced.store), "ip:port of the platform's store, to which the worker writes its entry");
    add("service", options::value(&announced.service), "service in that entry");
    add("zone", options::value(&announced.zone), "zone in that entry");
    add("address", options::value(&announced.address), "address in that entry");
    add("log-headers", options::bool_switch(&worker.logsHeaders), "logs each header of each request");
    add("seed", options::value(&worker.seed)->default_value(1), "seed of the random draws of faults");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &) {
        boost::asio::io_context io(1);
        worker.calls.cost = std::chrono::milliseconds(callCostMs);
        worker.calls.longest = std::chrono::milliseconds(callLongestMs);
        worker.calls.idHeader = worker.idHeader;
        worker.calls.timeLeftHeader = worker.timeLeftHeader;
        announced.id = worker.name;
        announced.slots = worker.slots;
        standins::worker_service service(io, worker);
        standins::worker_announcer announcer(io, announced);
        announcer.start();
        return standins::runHttpProgram(io, standins::listenOn(io, listen), service);
    });
}
