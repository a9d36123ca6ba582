// Stand-in for a platform's metadata store, see keyed_store.h. Prints "port=NNNN" when it is ready.
#include "keyed_store.h"
#include "program_options.h"

namespace standins = dandelionstall::standins;
namespace options = boost::program_options;

int main(int argc, char **argv)
{
    std::string listen;
    options::options_description description("Options");
    description.add_options()("listen", options::value(&listen)->default_value("127.0.0.1:0"), "ip:port; port 0 lets the kernel choose");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &) {
        boost::asio::io_context io(1);
        standins::keyed_store service(io);
        return standins::runHttpProgram(io, standins::listenOn(io, listen), service);
    });
}
