#include "program_options.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>

namespace dandelionstall::standins {

namespace options = boost::program_options;

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

std::pair<std::string, std::string> splitAssignment(const std::string &text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
        throw std::invalid_argument("expected name=value, got " + text);
    }
    return {text.substr(0, equals), text.substr(equals + 1)};
}

int runProgram(int argc, char **argv, options::options_description &description, const std::function<int(const options::variables_map &)> &body)
{
    try {
        description.add_options()("help", "print this text");
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, description), given);
        if (given.contains("help")) {
            std::cout << description;
            return 0;
        }
        options::notify(given);
        return body(given);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}

} // namespace dandelionstall::standins
