// Fault proxy between nodes and between callers and nodes, see fault_network.h. Prints "port=NNNN" of its command server when
// it is ready.
#include "fault_network.h"
#include "program_options.h"

namespace standins = dandelionstall::standins;
namespace options = boost::program_options;

int main(int argc, char **argv)
{
    std::string listen;
    std::string links;
    std::string rules;
    std::uint64_t seed = 1;
    options::options_description description("Options");
    auto add = description.add_options();
    add("listen", options::value(&listen)->default_value("127.0.0.1:0"), "ip:port of the command server; port 0 lets the kernel choose");
    add("links", options::value(&links)->required(), "JSON file: [{\"listen\": \"ip:port\", \"target\": \"ip:port\"}]");
    add("rules", options::value(&rules), "JSON file with the initial rules");
    add("seed", options::value(&seed)->default_value(1), "seed of the random draws of jitter, loss and resets");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &) {
        boost::asio::io_context io(1);
        standins::fault_network network(io, seed);
        if (!rules.empty()) {
            network.setRules(standins::parseFaultRules(standins::readFile(rules)));
        }
        for (const standins::fault_link &link : standins::parseFaultLinks(standins::readFile(links))) {
            network.open(link);
        }
        return standins::runHttpProgram(io, standins::listenOn(io, listen), network);
    });
}
