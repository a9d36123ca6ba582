#include "key_values.h"

#include <boost/property_tree/ini_parser.hpp>

#include <sstream>

namespace dandelionstall::standins {

namespace property_tree = boost::property_tree;

namespace {

property_tree::ptree parseLines(const std::string &text)
{
    property_tree::ptree tree;
    std::istringstream stream(text);
    try {
        property_tree::read_ini(stream, tree);
    } catch (const property_tree::ini_parser_error &error) {
        throw std::invalid_argument(error.what());
    }
    return tree;
}

} // namespace

key_values::key_values(const std::string &text)
    : m_tree(parseLines(text))
{ }

key_values::key_values(property_tree::ptree section)
    : m_tree(std::move(section))
{ }

bool key_values::consumeFlag(const std::string &key)
{
    const auto value = consume<std::string>(key, "no");
    if (value != "yes" && value != "no") {
        throw std::invalid_argument("value of " + key + ": expected yes or no");
    }
    return value == "yes";
}

std::chrono::milliseconds key_values::consumeMillis(const std::string &key, std::chrono::milliseconds defaultValue)
{
    return std::chrono::milliseconds(consume<std::int64_t>(key, defaultValue.count()));
}

void key_values::expectAllConsumed() const
{
    if (!m_tree.empty()) {
        throw std::invalid_argument("unknown key " + m_tree.front().first);
    }
}

std::vector<std::pair<std::string, key_values>> readSections(const std::string &path)
{
    property_tree::ptree tree;
    property_tree::read_ini(path, tree);
    std::vector<std::pair<std::string, key_values>> sections;
    for (auto &[name, section] : tree) {
        sections.emplace_back(name, key_values(std::move(section)));
    }
    return sections;
}

} // namespace dandelionstall::standins
