// Tests of the built dandelionctl, run as an operator runs it: output, messages and exit codes.
#include <dandelionstall/transport/admin_server.h>

#include <boost/asio.hpp>
#include <boost/json/parse.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <fstream>
#include <thread>

#include "tool_run.h" // included after Boost, since macros of Criterion would change names in Boost headers

using namespace dandelionstall;
using namespace dandelionctl::testing;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

const std::string Examples = EXAMPLES_DIR;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

// An admin API server that answers as a node with the tables of an example in force.
class fake_node
{
public:
    explicit fake_node(state::table_revision poolsRevision)
        : m_server(m_io, transport::makeAdminHandlers(makeProviders(poolsRevision)))
    {
        cr_assert(m_server.listen({"127.0.0.1", 0}).ok());
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~fake_node()
    {
        asio::post(m_io, [this] { m_server.stop(); });
        m_thread.join();
    }

    std::string option() const
    {
        return " --node " + formatNodeAddress(m_server.address());
    }

private:
    static transport::admin_providers makeProviders(state::table_revision poolsRevision)
    {
        auto snapshot = std::make_shared<coordination::fleet_snapshot>();
        snapshot->routes = std::make_shared<const state::route_table>(state::parseRouteTable(readFile(Examples + "/vaga/routes.ini"), "routes").value());
        snapshot->pools = std::make_shared<const state::pool_table>(state::parsePoolTable(readFile(Examples + "/vaga/pools.ini"), "pools").value());
        transport::admin_providers providers;
        providers.identity = [] {
            return protocol::node_identity{"n1", "0.1.0", 7, {}};
        };
        providers.now = [] {
            return state::time_point(std::chrono::seconds(5));
        };
        providers.snapshot = [snapshot] {
            return snapshot;
        };
        providers.fleet = [poolsRevision] {
            protocol::fleet_status fleet;
            fleet.pools.inForce.revision = poolsRevision;
            fleet.routes.lastRefusal = "routes:3: unknown section";
            return fleet;
        };
        return providers;
    }

    asio::io_context m_io{1};
    transport::admin_server m_server;
    std::thread m_thread;
};

} // namespace

Test(dandelionctl, prints_help_and_rejects_invalid_command_lines)
{
    cr_assert(contains(runTool("--help"), "Exit codes"));
    cr_assert(runTool("--help").exitCode == 0);
    cr_assert(runTool("--version").exitCode == 0);
    cr_assert(runTool("").exitCode == 2);
    cr_assert(runTool("--wrong").exitCode == 2);
    cr_assert(runTool("status --node localhost:1").exitCode == 2);
    const tool_result mistyped = runTool("chek");
    cr_assert(mistyped.exitCode == 2 && contains(mistyped, "did you mean \"check\"?"));
}

Test(dandelionctl, accepts_both_examples)
{
    for (const std::string deployment : {"/kiambu", "/vaga"}) {
        const std::string files = Examples + deployment;
        const tool_result result = runTool("check " + files + "/node-*.ini --routes " + files + "/routes.ini --pools " + files + "/pools.ini");
        cr_assert(result.exitCode == 0);
        cr_assert(contains(result, "/pools.ini: ok"));
    }
}

Test(dandelionctl, names_file_line_and_reason_of_every_faulty_file)
{
    const std::string files = Examples + "/kiambu";
    const scratch_file routes(replaced(readFile(files + "/routes.ini"), "pool = catalogue", "pool = catalog"));
    const tool_result unresolved = runTool("check --routes " + routes.path() + " --pools " + files + "/pools.ini");
    cr_assert(unresolved.exitCode == 1);
    cr_assert(contains(unresolved, routes.path() + ":39: route \"manual-fetch\" names the pool \"catalog\""));

    const scratch_file node(replaced(readFile(files + "/node-thika.ini"), "data_centre = thika", "data_centre = ruiru"));
    const tool_result misplaced = runTool("check " + node.path() + " --pools " + files + "/pools.ini");
    cr_assert(misplaced.exitCode == 1);
    cr_assert(contains(misplaced, "the pool table lists it in data centre thika, but this node is in ruiru"));

    const scratch_file broken("[node]\nnme = x\n");
    const tool_result both = runTool("check " + broken.path() + " /nonexistent.ini --json");
    cr_assert(both.exitCode == 3);
    cr_assert(json::parse(both.text).at("faults").as_array().size() == 2);
}

Test(dandelionctl, prints_answers_of_nodes)
{
    const fake_node node(4);
    const tool_result status = runTool("status" + node.option());
    cr_assert(status.exitCode == 0 && contains(status, "routes revision 1 with 5 rows"));
    const tool_result pool = runTool("pools tagdesk" + node.option());
    cr_assert(pool.exitCode == 0 && contains(pool, "23 of   23 workers usable") && contains(pool, "no report yet"));
    cr_assert(runTool("pools nonesuch" + node.option()).exitCode == 1);
    const tool_result found = runTool("explain --host bays.vaga.example --path /bays/7 --method POST" + node.option());
    cr_assert(found.exitCode == 0 && contains(found, "route bay-claim"));
    const tool_result refused = runTool("explain --path /nothing --json" + node.option());
    cr_assert(refused.exitCode == 1 && contains(refused, "\"refusal\":\"no_route\""));
}

Test(dandelionctl, reports_nodes_with_different_configurations)
{
    const fake_node first(4);
    const fake_node second(5);
    const tool_result same = runTool("config" + first.option());
    cr_assert(same.exitCode == 0 && contains(same, "latest refusal of routes: routes:3: unknown section"));
    const tool_result differing = runTool("config" + first.option() + second.option());
    cr_assert(differing.exitCode == 1 && contains(differing, "do not have the same tables"));
    cr_assert(runTool("config --json" + first.option() + second.option()).exitCode == 1);
}

Test(dandelionctl, reports_a_node_that_cannot_be_reached)
{
    const tool_result result = runTool("status --node 127.0.0.1:1 --timeout 1s");
    cr_assert(result.exitCode == 4 && contains(result, "127.0.0.1:1: Connection refused"));
}

Test(dandelionctl, prints_the_event_catalogue)
{
    cr_assert(contains(runTool("events 4005"), "4005 config_conflict (error)"));
    cr_assert(runTool("events 9999").exitCode == 1);
    cr_assert(json::parse(runTool("events --json").text).as_array().size() > 10);
}
