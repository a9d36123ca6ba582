// Tests of transport/admin_server.h and protocol/admin_json.h, over real connections on loopback.
#include <dandelionstall/transport/admin_server.h>

#include <boost/asio.hpp>
#include <boost/json/parse.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <thread>

using namespace dandelionstall;
using namespace dandelionstall::transport;
namespace asio = boost::asio;
namespace json = boost::json;
using coordination::worker_state;

namespace {

constexpr std::string_view Routes = "[table]\nrevision = 4\n[route.lookup]\nhost = orders.example\npath = /records\npool = dressing-order\nidempotent = yes\n";
constexpr std::string_view Pools
    = "[table]\nrevision = 9\n[pool.dressing-order]\nslots = 3\nworker.d-1 = 127.0.0.1:7400 kiambu\nworker.d-2 = 127.0.0.2:7400 thika\n";

coordination::fleet_snapshot_ptr makeSnapshot()
{
    auto snapshot = std::make_shared<coordination::fleet_snapshot>();
    snapshot->routes = std::make_shared<const state::route_table>(state::parseRouteTable(Routes, "routes").value());
    snapshot->pools = std::make_shared<const state::pool_table>(state::parsePoolTable(Pools, "pools").value());
    auto view = std::make_shared<coordination::pool_view>(coordination::makePoolView(snapshot->pools->pools[0]));
    view->workers[1].state = worker_state::ejected;
    view->workers[1].report.version = 1;
    view->workers[1].report.successShare = 0.25;
    view->workers[1].report.samples = 40;
    view->workers[1].report.limit = coordination::limit_knowledge::limited;
    view->workers[1].report.rateLimit = 2.5;
    snapshot->poolViews["dressing-order"] = view;
    return snapshot;
}

admin_providers makeProviders(coordination::fleet_snapshot_ptr snapshot)
{
    admin_providers providers;
    providers.identity = [] {
        return protocol::node_identity{"n1", "0.1.0", 7, {}};
    };
    providers.now = [] {
        return state::time_point(std::chrono::seconds(5));
    };
    providers.snapshot = [snapshot] {
        return snapshot;
    };
    providers.fleet = [] {
        protocol::fleet_status fleet;
        fleet.self = {"127.0.0.1", 7400};
        fleet.pools.inForce = {9, 2};
        coordination::member other;
        other.address = {"127.0.0.2", 7400};
        other.dataCentre = "thika";
        other.incarnation = 3;
        other.state = coordination::member_state::suspect;
        fleet.members.push_back({other, 4, 8});
        return fleet;
    };
    providers.metrics = [] {
        return std::string("up 1\n");
    };
    return providers;
}

// A server on its own thread, with functions that send raw requests to it.
class running_server
{
public:
    explicit running_server(coordination::fleet_snapshot_ptr snapshot, const admin_limits &limits = {})
        : m_server(m_io, makeAdminHandlers(makeProviders(std::move(snapshot))), limits)
    {
        cr_assert(m_server.listen({"127.0.0.1", 0}).ok());
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~running_server()
    {
        asio::post(m_io, [this] { m_server.stop(); });
        m_thread.join();
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(m_clientIo);
        socket.connect({asio::ip::make_address(m_server.address().ip), m_server.address().port});
        return socket;
    }

    // Sends a request and returns all bytes until the server closes the connection.
    std::string exchange(std::string_view request)
    {
        asio::ip::tcp::socket socket = connect();
        asio::write(socket, asio::buffer(request));
        std::string answer;
        boost::system::error_code ended;
        asio::read(socket, asio::dynamic_buffer(answer), ended);
        return answer;
    }

    std::string get(std::string_view target)
    {
        return exchange("GET " + std::string(target) + " HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n");
    }

    json::value getJson(std::string_view target)
    {
        const std::string answer = get(target);
        return json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
    }

private:
    asio::io_context m_io{1};
    asio::io_context m_clientIo;
    admin_server m_server;
    std::thread m_thread;
};

bool hasStatus(const std::string &answer, std::string_view status)
{
    return answer.starts_with("HTTP/1.1 " + std::string(status) + " ");
}

} // namespace

Test(admin_server, shows_tables_pools_and_the_reason_of_a_worker_state)
{
    running_server server(makeSnapshot());
    cr_assert(server.getJson("/v1/tables").at("routes").at("revision") == 4);
    const json::value pool = server.getJson("/v1/pools/dressing-order");
    cr_assert(pool.at("usable") == 1);
    cr_assert(pool.at("members").at(1).at("state") == "ejected");
    cr_assert(pool.at("members").at(1).at("why").as_string().find("25.0 % of 40 recent requests succeeded") != json::string::npos);
    cr_assert(pool.at("members").at(1).at("why").as_string().find("states a limit of 2.5 requests a second") != json::string::npos);
    cr_assert(pool.at("members").at(1).at("report").at("rate_limit") == 2.5);
    cr_assert(server.getJson("/v1/members").at("members").at(0).at("data_centre") == "thika");
    cr_assert(server.getJson("/v1/members").at("members").at(0).at("state") == "suspect");
    cr_assert(server.getJson("/v1/config").at("pools").at("in_force").at("revision") == 9);
    cr_assert(server.getJson("/v1/config").at("members").at(0).at("pools_revision") == 8);
    cr_assert(server.getJson("/v1/health").at("uptime_ms") == 5000);
    cr_assert(server.get("/metrics").ends_with("up 1\n"));
}

Test(admin_server, explains_where_a_request_would_go)
{
    running_server server(makeSnapshot());
    const json::value found = server.getJson("/v1/explain?host=Orders.Example&path=%2Frecords%2F7&method=GET");
    cr_assert(found.at("route").at("name") == "lookup");
    cr_assert(found.at("candidates").as_array().size() == 2);
    cr_assert(found.at("refusal").is_null());
    cr_assert(server.getJson("/v1/explain?path=/records").at("refusal") == "no_route");
}

Test(admin_server, reports_what_is_missing_until_the_node_is_ready)
{
    running_server server(nullptr);
    const std::string answer = server.get("/v1/ready");
    cr_assert(hasStatus(answer, "503"));
    cr_assert(answer.find("\"missing\":[\"route table\",\"pool table\"]") != std::string::npos);
    cr_assert(server.getJson("/v1/explain?path=/").at("refusal") == "not_ready");
    running_server ready(makeSnapshot());
    cr_assert(hasStatus(ready.get("/v1/ready"), "200"));
}

Test(admin_server, rejects_unsupported_requests)
{
    running_server server(makeSnapshot());
    cr_assert(hasStatus(server.get("/v1/nothing"), "404"));
    cr_assert(hasStatus(server.get("/v1/pools/absent"), "404"));
    cr_assert(hasStatus(server.get("/v1/settings"), "404")); // the settings provider is empty
    cr_assert(hasStatus(server.get("/%zz"), "400"));
    cr_assert(hasStatus(server.exchange("POST /v1/pools HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"), "405"));
    cr_assert(hasStatus(server.exchange("nonsense\r\n\r\n"), "400"));
    cr_assert(hasStatus(server.exchange("GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n"), "431"));
    const std::string head = server.exchange("HEAD /v1/pools HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n");
    cr_assert(hasStatus(head, "200"));
    cr_assert(head.ends_with("\r\n\r\n"));
}

Test(admin_server, closes_connections_over_the_limit_and_incomplete_requests)
{
    admin_limits limits;
    limits.maxConnections = 1;
    limits.requestTimeout = std::chrono::milliseconds(200);
    running_server server(makeSnapshot(), limits);
    asio::ip::tcp::socket incomplete = server.connect();
    asio::write(incomplete, asio::buffer(std::string_view("GET /v1")));
    char byte = 0;
    boost::system::error_code error;
    asio::ip::tcp::socket second = server.connect();
    asio::read(second, asio::buffer(&byte, 1), error);
    cr_assert(error == asio::error::eof);
    asio::read(incomplete, asio::buffer(&byte, 1), error); // returns when the request timeout closes the connection
    cr_assert(error.failed());
    cr_assert(hasStatus(server.get("/v1/pools"), "200"));
}

Test(admin_server, decodes_any_request_target)
{
    cr_assert(rc::check("a target is decoded or refused", [](const std::string &target) {
        const auto request = parseAdminTarget("/" + target);
        if (request) { // RC_ASSERT evaluates both sides of ||
            RC_ASSERT(request->path.starts_with('/'));
        }
    }));
    const auto request = parseAdminTarget("/a%20b?x=1%262&y&z=a+b");
    cr_assert(request->path == "/a b");
    cr_assert(request->parameters.at("x") == "1&2" && request->parameters.at("y").empty() && request->parameters.at("z") == "a b");
}
