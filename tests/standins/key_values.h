// Text of "key=value" lines, as test commands and load profiles use it, on top of Boost.PropertyTree.
//
// Usage:
//   key_values values(text);                 // throws std::invalid_argument when malformed
//   faults.slow = values.take("slow", 1.0);  // default when absent
//   values.expectEmpty();                    // throws when a key was not taken
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
    explicit key_values(const std::string &text);             // lines without a section
    explicit key_values(boost::property_tree::ptree section); // one section of a larger file

    template<typename value_type>
    value_type take(const std::string &key, value_type otherwise) // a number or text
    {
        const auto found = m_tree.find(key);
        if (found == m_tree.not_found()) {
            return otherwise;
        }
        const auto value = found->second.get_value_optional<value_type>();
        if (!value) {
            throw std::invalid_argument("bad value of " + key + ": " + found->second.data());
        }
        m_tree.erase(m_tree.to_iterator(found));
        return *value;
    }
    bool takeFlag(const std::string &key); // "yes" or "no"; no when absent
    std::chrono::milliseconds takeMillis(const std::string &key, std::chrono::milliseconds otherwise);
    void expectEmpty() const; // throws and names the first key left

private:
    boost::property_tree::ptree m_tree;
};

std::vector<std::pair<std::string, key_values>> readSections(const std::string &path); // of an INI file, in file order

} // namespace dandelionstall::standins
