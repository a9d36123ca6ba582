// Stand-in for the configuration service, see config_service.h. Prints "port=NNNN" when it is ready.
#include "config_service.h"
#include "program_options.h"

namespace standins = dandelionstall::standins;
namespace options = boost::program_options;

int main(int argc, char **argv)
{
    std::string listen;
    std::vector<std::string> assignments;
    options::options_description description("Options");
    auto add = description.add_options();
    add("listen", options::value(&listen)->default_value("127.0.0.1:0"), "ip:port; port 0 lets the kernel choose");
    add("set", options::value(&assignments)->composing(), "key=file; initial value of a key, repeatable; key _nodes is the list of VMs");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &) {
        boost::asio::io_context io(1);
        standins::config_service service(io);
        for (const std::string &assignment : assignments) {
            const auto [key, path] = standins::splitAssignment(assignment);
            service.set(key, standins::readFile(path));
        }
        return standins::runHttpProgram(io, standins::listenOn(io, listen), service);
    });
}
