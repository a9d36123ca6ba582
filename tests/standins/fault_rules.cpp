#include "fault_rules.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace dandelionstall::standins {

namespace json = boost::json;

namespace {

double numberOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value == nullptr ? 0.0 : value->to_number<double>();
}

std::string textOf(const json::object &object, std::string_view key, std::string_view defaultText)
{
    const json::value *value = object.if_contains(key);
    return std::string(value == nullptr ? defaultText : std::string_view(value->as_string()));
}

std::chrono::microseconds millisOf(const json::object &object, std::string_view key)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double, std::milli>(numberOf(object, key)));
}

cut_mode parseCut(const std::string &name)
{
    if (name == "none") {
        return cut_mode::none;
    }
    if (name == "hold") {
        return cut_mode::hold;
    }
    if (name == "discard") {
        return cut_mode::discard;
    }
    throw std::invalid_argument("cut must be none, hold or discard, got " + name);
}

fault_rule parseRule(const json::object &object)
{
    fault_rule rule;
    rule.from = textOf(object, "from", "*");
    rule.to = textOf(object, "to", "*");
    rule.conditions.delay = millisOf(object, "delay_ms");
    rule.conditions.jitter = millisOf(object, "jitter_ms");
    rule.conditions.loss = numberOf(object, "loss");
    rule.conditions.reset = numberOf(object, "reset");
    rule.conditions.cut = parseCut(textOf(object, "cut", "none"));
    rule.conditions.bytesPerSecond = static_cast<std::uint64_t>(numberOf(object, "bytes_per_second"));
    return rule;
}

} // namespace

std::vector<fault_rule> parseFaultRules(const std::string &text)
{
    std::vector<fault_rule> rules;
    try {
        const json::value parsed = json::parse(text);
        for (const json::value &entry : parsed.as_array()) {
            rules.push_back(parseRule(entry.as_object()));
        }
    } catch (const std::exception &error) {
        throw std::invalid_argument(error.what());
    }
    return rules;
}

path_conditions conditionsOf(const std::vector<fault_rule> &rules, const std::string &from, const std::string &to)
{
    for (auto rule = rules.rbegin(); rule != rules.rend(); ++rule) {
        if (matches(rule->from, from) && matches(rule->to, to)) {
            return rule->conditions;
        }
    }
    return {};
}

bool matches(const std::string &pattern, const std::string &ip)
{
    return pattern == "*" || pattern == ip;
}

std::chrono::microseconds drawDelay(const path_conditions &conditions, std::mt19937_64 &random)
{
    if (conditions.jitter.count() == 0) {
        return conditions.delay;
    }
    return conditions.delay + std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(0, conditions.jitter.count())(random));
}

bool draw(double share, std::mt19937_64 &random)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(random) < share;
}

} // namespace dandelionstall::standins
