// The stand-in for the configuration service, see config_service.h. Prints "port=NNNN" when it is ready.
#include "config_service.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace standins = dandelionstall::standins;
namespace options = boost::program_options;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

// "key=path"
void setFromFile(standins::config_service &service, const std::string &assignment)
{
    const std::size_t equals = assignment.find('=');
    service.set(assignment.substr(0, equals), readFile(assignment.substr(equals + 1)));
}

} // namespace

int main(int argc, char **argv)
{
    std::string listen;
    std::vector<std::string> assignments;
    options::options_description description("Options");
    auto add = description.add_options();
    add("help", "print this text");
    add("listen", options::value(&listen)->default_value("127.0.0.1:0"), "ip:port; port 0 lets the kernel choose");
    add("set", options::value(&assignments)->composing(), "key=file; initial value of a key, repeatable; key _nodes is the list of VMs");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.contains("help")) {
        std::cout << description;
        return 0;
    }
    boost::asio::io_context io(1);
    standins::config_service service(io);
    for (const std::string &assignment : assignments) {
        setFromFile(service, assignment);
    }
    return standins::runHttpProgram(io, standins::listenOn(io, listen), service);
}
