#include "store_platform.h"

#include <boost/algorithm/string/replace.hpp>

#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace dandelionstall::testing {

namespace {

std::string repeatForEntries(const std::string &body, const std::map<std::string, std::string> &table)
{
    std::string text;
    for (const auto &[name, value] : table) {
        std::string each = body;
        boost::replace_all(each, "{{@}}", name);
        boost::replace_all(each, "{{.}}", value);
        text += each;
    }
    return text;
}

// Replaces the first section that opens with the mark, "{{#" or "{{^". Returns false when there is none.
bool replaceSection(std::string &text, std::string_view mark, const template_values &values, const template_tables &tables)
{
    const std::size_t open = text.find(mark);
    if (open == std::string::npos) {
        return false;
    }
    const std::size_t body = text.find("}}", open) + 2;
    const std::string name = text.substr(open + mark.size(), body - 2 - open - mark.size());
    const std::string closing = "{{/" + name + "}}";
    const std::size_t close = text.find(closing, body);
    if (close == std::string::npos) {
        throw std::invalid_argument("section without end: " + name);
    }
    const std::string inside = text.substr(body, close - body);
    const auto value = values.find(name);
    const bool hasValue = value != values.end() && !value->second.empty();
    std::string replacement;
    if (const auto table = tables.find(name); table != tables.end()) {
        replacement = repeatForEntries(inside, table->second);
    } else if (hasValue == (mark == "{{#")) {
        replacement = inside;
    }
    text.replace(open, close + closing.size() - open, replacement);
    return true;
}

} // namespace

std::string readDeployTemplate()
{
    const std::string path = std::string(DANDELIONSTALL_DEPLOY_DIR) + "/node.ini";
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string fillTemplate(std::string text, const template_values &values, const template_tables &tables)
{
    for (const std::string_view mark : {"{{#", "{{^"}) {
        while (replaceSection(text, mark, values, tables)) { }
    }
    for (const auto &[name, value] : values) {
        boost::replace_all(text, "{{" + name + "}}", value);
    }
    return text;
}

std::string replaceLines(const std::string &text, const std::map<std::string, std::string> &lines)
{
    std::istringstream in(text);
    std::string out;
    for (std::string line; std::getline(in, line);) {
        for (const auto &[beginning, replacement] : lines) {
            line = line.starts_with(beginning) ? replacement : line;
        }
        out += line + "\n";
    }
    return out;
}

} // namespace dandelionstall::testing
