#include "show.h"

#include "admin_client.h"

#include <dandelionstall/state/ini.h>
#include <dandelionstall/state/text.h>
#include <dandelionstall/transport/events.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <set>

namespace dandelionctl {

namespace json = boost::json;

namespace {

constexpr std::uint32_t StatusOk = 200;

// A JSON value as text: strings without quotes, floating-point numbers in their shortest form (%g).
std::string plain(const json::value &value)
{
    if (value.is_double()) {
        return fmt::format("{:g}", value.as_double());
    }
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

// The value at a JSON pointer as text, or "-" when there is none.
std::string field(const json::value &value, std::string_view pointer)
{
    boost::system::error_code missing;
    const json::value *found = value.find_pointer(pointer, missing);
    return found == nullptr ? "-" : plain(*found);
}

// Reads one path of each node and passes each answer to a printer; with --json all answers are printed as one object.
class node_reader
{
public:
    explicit node_reader(const command_line &line)
        : m_line(line)
    { }

    using printer = std::function<void(const std::string &node, const json::value &body)>;

    // Returns the highest exit code of all nodes.
    int readEach(const std::string &target, const printer &print)
    {
        for (const state::node_address &node : m_line.nodes) {
            const std::string name = formatNodeAddress(node);
            const absl::StatusOr<admin_reply> reply = fetchAdmin(node, target, m_line.timeout);
            if (!reply.ok()) {
                updateExitCode(ExitUnreachable);
                std::cerr << "dandelionctl: " << state::messageOf(reply.status()) << '\n';
                continue;
            }
            updateExitCode(reply->status == StatusOk ? ExitOk : ExitFault);
            m_answers[name] = reply->body;
            if (reply->body.as_object().contains("error")) {
                std::cerr << "dandelionctl: " << name << ": " << field(reply->body, "/error") << '\n';
            } else if (!m_line.json) {
                print(name, reply->body);
            }
        }
        if (m_line.json) {
            std::cout << json::serialize(m_answers) << '\n';
        }
        return m_exitCode;
    }

    const json::object &answers() const // answers by node address; nodes that could not be read are missing
    {
        return m_answers;
    }

private:
    void updateExitCode(int exitCode)
    {
        m_exitCode = std::max(m_exitCode, exitCode);
    }

    const command_line &m_line;
    json::object m_answers;
    int m_exitCode = ExitOk;
};

void printWorkers(const json::value &workers)
{
    std::cout << fmt::format("  {:<20} {:<14} {:<22} {:<12} {:>6} {}\n", "worker", "data centre", "node", "state", "weight", "why");
    for (const json::value &worker : workers.as_array()) {
        std::cout << fmt::format("  {:<20} {:<14} {:<22} {:<12} {:>6} {}\n",
                                 field(worker, "/id"),
                                 field(worker, "/data_centre"),
                                 field(worker, "/node"),
                                 field(worker, "/state"),
                                 field(worker, "/weight"),
                                 field(worker, "/why"));
    }
}

void printPoolLine(const json::value &pool)
{
    std::cout << fmt::format("  {:<24} {:>4} of {:>4} workers usable, {} slots each, floor {}, {}, {}, {}, {}\n",
                             field(pool, "/name"),
                             field(pool, "/usable"),
                             field(pool, "/workers"),
                             field(pool, "/slots"),
                             field(pool, "/floor"),
                             field(pool, "/balancer"),
                             field(pool, "/ejector"),
                             field(pool, "/admission"),
                             field(pool, "/retry"));
}

void printExplanation(const std::string &node, const json::value &body)
{
    std::cout << fmt::format("{}: {} {}{}\n", node, field(body, "/query/method"), field(body, "/query/host"), field(body, "/query/path"));
    if (body.at("route").is_object()) {
        std::cout << fmt::format("  route {} (line {}), pool {}, idempotent {}, worth {}, timeout {} ms\n",
                                 field(body, "/route/name"),
                                 field(body, "/route/line"),
                                 field(body, "/route/pool"),
                                 field(body, "/route/idempotent"),
                                 field(body, "/route/worth"),
                                 field(body, "/route/timeout_ms"));
    }
    if (!body.at("refusal").is_null()) {
        std::cout << fmt::format("  would be refused: {}\n", field(body, "/refusal"));
    }
    if (!body.at("candidates").as_array().empty()) {
        printWorkers(body.at("candidates"));
    }
}

std::string configVersion(const json::value &body)
{
    return fmt::format("routes revision {} digest {}, pools revision {} digest {}",
                       field(body, "/routes/in_force/revision"),
                       field(body, "/routes/in_force/digest"),
                       field(body, "/pools/in_force/revision"),
                       field(body, "/pools/in_force/digest"));
}

void printConfig(const std::string &node, const json::value &body)
{
    std::cout << fmt::format("{}: {}\n", node, configVersion(body));
    for (const std::string_view table : {"routes", "pools"}) {
        const std::string refusal = field(body, fmt::format("/{}/last_refusal", table));
        if (!refusal.empty()) {
            std::cout << fmt::format("  latest refusal of {}: {}\n", table, refusal);
        }
    }
}

json::object eventJson(const transport::event_info &info)
{
    return {{"number", static_cast<std::uint32_t>(info.id)}, {"name", info.name}, {"level", transport::levelName(info.level)}, {"meaning", info.meaning}};
}

} // namespace

int showStatus(const command_line &line)
{
    node_reader health(line);
    const int healthCode = health.readEach("/v1/health", [](const std::string &node, const json::value &body) {
        std::cout << fmt::format("{}: {} {}, up {} ms\n", node, field(body, "/node"), field(body, "/status"), field(body, "/uptime_ms"));
    });
    if (healthCode == ExitUnreachable) {
        return healthCode;
    }
    node_reader ready(line);
    const int readyCode = ready.readEach("/v1/ready", [](const std::string &node, const json::value &body) {
        const bool isReady = body.at("ready").as_bool();
        std::cout << fmt::format("{}: {}\n", node, isReady ? "ready" : "not ready, missing " + field(body, "/missing"));
    });
    node_reader tables(line);
    const int tablesCode = tables.readEach("/v1/tables", [](const std::string &node, const json::value &body) {
        std::cout << fmt::format("{}: routes revision {} with {} rows, pools revision {} with {} rows\n",
                                 node,
                                 field(body, "/routes/revision"),
                                 field(body, "/routes/rows"),
                                 field(body, "/pools/revision"),
                                 field(body, "/pools/rows"));
    });
    return std::max({healthCode, readyCode, tablesCode});
}

int showPools(const command_line &line)
{
    node_reader reader(line);
    if (line.arguments.empty()) {
        return reader.readEach("/v1/pools", [](const std::string &node, const json::value &body) {
            std::cout << node << ":\n";
            for (const json::value &pool : body.at("pools").as_array()) {
                printPoolLine(pool);
            }
        });
    }
    return reader.readEach("/v1/pools/" + encodeParameter(line.arguments.front()), [](const std::string &node, const json::value &body) {
        std::cout << node << ":\n";
        printPoolLine(body);
        printWorkers(body.at("members"));
    });
}

int showExplain(const command_line &line)
{
    const std::string target
        = fmt::format("/v1/explain?host={}&path={}&method={}", encodeParameter(line.host), encodeParameter(line.path), encodeParameter(line.method));
    node_reader reader(line);
    const int code = reader.readEach(target, printExplanation);
    const auto isRefused = [](const auto &answer) {
        return field(answer.value(), "/refusal") != "null";
    };
    const bool anyRefused = std::any_of(reader.answers().begin(), reader.answers().end(), isRefused);
    return anyRefused ? std::max(code, ExitFault) : code;
}

int showConfig(const command_line &line)
{
    node_reader reader(line);
    const int code = reader.readEach("/v1/config", printConfig);
    std::set<std::string> versions;
    for (const auto &answer : reader.answers()) {
        versions.insert(configVersion(answer.value()));
    }
    if (versions.size() > 1) {
        std::cerr << "dandelionctl: the nodes do not have the same tables in force\n";
        return std::max(code, ExitFault);
    }
    return code;
}

int showEvents(const command_line &line)
{
    const std::span<const transport::event_info> catalogue = transport::eventCatalogue();
    json::array events;
    for (const transport::event_info &info : catalogue) {
        const std::string number = std::to_string(static_cast<std::uint32_t>(info.id));
        if (line.arguments.empty() || line.arguments.front() == number || line.arguments.front() == info.name) {
            events.emplace_back(eventJson(info));
        }
    }
    if (line.json) {
        std::cout << json::serialize(events) << '\n';
    } else {
        for (const json::value &event : events) {
            std::cout << fmt::format("{} {} ({}): {}\n", field(event, "/number"), field(event, "/name"), field(event, "/level"), field(event, "/meaning"));
        }
    }
    if (events.empty()) {
        std::cerr << "dandelionctl: event " << line.arguments.front() << " is not in the catalogue; \"dandelionctl events\" lists all events by number\n";
        return ExitFault;
    }
    return ExitOk;
}

} // namespace dandelionctl
