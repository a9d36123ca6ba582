// Parser for "key=value" lines of test commands and load profiles, based on Boost.PropertyTree.
//
// Usage:
//   key_values values(text);                    // throws std::invalid_argument when malformed
//   faults.slow = values.consume("slow", 1.0);  // returns the default when absent
//   values.expectAllConsumed();                 // throws when a key has not been consumed
#pragma once

#include <boost/property_tree/ptree.hpp>

#include <chrono>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace dandelionstall::standins {

class key_values
{
public:
    explicit key_values(const std::string &text);             // text of key=value lines without a section header
    explicit key_values(boost::property_tree::ptree section); // one section of an INI file

    template<typename value_type>
    value_type consume(const std::string &key, value_type defaultValue) // returns and removes a number or text
    {
        const auto found = m_tree.find(key);
        if (found == m_tree.not_found()) {
            return defaultValue;
        }
        const auto value = found->second.get_value_optional<value_type>();
        if (!value) {
            throw std::invalid_argument("invalid value of " + key + ": " + found->second.data());
        }
        m_tree.erase(m_tree.to_iterator(found));
        return *value;
    }
    bool consumeFlag(const std::string &key); // accepts "yes" or "no"; false when absent
    std::chrono::milliseconds consumeMillis(const std::string &key, std::chrono::milliseconds defaultValue);
    void expectAllConsumed() const; // throws std::invalid_argument with the first unconsumed key

private:
    boost::property_tree::ptree m_tree;
};

std::vector<std::pair<std::string, key_values>> readSections(const std::string &path); // returns the sections of an INI file in file order

} // namespace dandelionstall::standins
