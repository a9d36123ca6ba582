#include "key_digest.h"

#include <dandelionstall/state/key_digest.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>
#include <iterator>

namespace dandelionctl {

int runKeyDigest(const command_line &line)
{
    if (!line.arguments.empty()) {
        std::cerr << "dandelionctl: key-digest reads the key from standard input and takes no arguments; see --help\n";
        return ExitUsage;
    }
    const std::string input(std::istreambuf_iterator<char>(std::cin), {});
    const std::string_view text(input);
    const std::size_t end = std::min(text.find_first_of("\r\n"), text.size());
    const std::string_view key = text.substr(0, end);
    const bool isOneLine = text.find_first_not_of("\r\n", end) == std::string_view::npos;
    if (!isOneLine || key.find_first_not_of(" \t") == std::string_view::npos) {
        std::cerr << "dandelionctl: expected one line with a key on standard input\n";
        return ExitFault;
    }
    const std::string digest = state::formatKeyDigest(state::digestOfKey(key));
    std::cout << (line.json ? boost::json::serialize(boost::json::object{{"digest", digest}}) : digest) << '\n';
    return ExitOk;
}

} // namespace dandelionctl
