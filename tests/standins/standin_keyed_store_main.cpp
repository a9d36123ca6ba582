// Stand-in for a platform's metadata store, see keyed_store.h. Prints "port=NNNN" when it is ready.
#include "keyed_store.h"
#include "program_options.h"

namespace standins = dandelionstall::standins;
namespace options = boost::program_options;

int main(int argc, char **argv)
{
    std::string listen;
    standins::keyed_store_options store;
    std::int64_t lapseMs = 0;
    options::options_description description("Options");
    auto add = description.add_options();
    add("listen", options::value(&listen)->default_value("127.0.0.1:0"), "ip:port; port 0 lets the kernel choose");
    add("page", options::value(&store.pageItems)->default_value(store.pageItems), "items of one answer to a range read");
    add("lapse-ms", options::value(&lapseMs)->default_value(lapseMs), "removes entries of workers that have not been written for this long; 0: never");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &) {
        boost::asio::io_context io(1);
        store.lapseAfter = std::chrono::milliseconds(lapseMs);
        standins::keyed_store service(io, store);
        return standins::runHttpProgram(io, standins::listenOn(io, listen), service);
    });
}
