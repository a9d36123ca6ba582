// Promise: where the configuration has organisations, a worker gets no request without the key of one, but on public routes; it gets the
// name of the organisation and never the key, whatever the caller states; and the key is nowhere else.
//
// Mechanisms: organisation_index over the route table in force, request_handler::identifyOrganisation for each request.
#include "expect.h"
#include "store_fleet.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <thread>

using namespace dandelionstall::testing;

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds InForceTime{2500}; // from the acknowledgement of a configuration
constexpr int Requests = 40;
constexpr const char *Ok = "HTTP/1.1 200";
constexpr const char *Unknown = "HTTP/1.1 401";
const std::string FerryKey = "fk-5d1c77a0";
const std::string OtherFerryKey = "fk-902e11b4";
const std::string DeskKey = "dk-31f8c2d6";
const std::string LongKey = std::string(8000, 'x');

std::string keyLine(const std::string &key)
{
    return "Api-Key: " + key + "\r\n";
}

// The configuration of store_fleet with organisations, a public route and a version.
std::string documentWith(std::uint64_t version, const std::string &organisations)
{
    const std::string common = R"("timeoutMs":2000,"service":"orders","maxAttempts":2})";
    return fmt::format(R"({{"version":{},"services":[{{"name":"orders"}}],"tenants":[{}],"virtualHosts":[{{"host":"shop.example","paths":[)"
                       R"({{"name":"read","prefix":"/read/","kind":"idempotent","priority":2,{},)"
                       R"({{"name":"book","prefix":"/book/","kind":"non_idempotent","priority":1,{},)"
                       R"({{"name":"open","prefix":"/open/","kind":"idempotent","public":true,{}]}}]}})",
                       version,
                       organisations,
                       common,
                       common,
                       common);
}

std::string organisation(const std::string &name, const std::vector<std::string> &keys)
{
    std::string list;
    for (const std::string &key : keys) {
        list += fmt::format(R"({}"{}")", list.empty() ? "" : ",", key);
    }
    return fmt::format(R"({{"name":"{}","apiKeys":[{}],"priority":1,"ratePerS":0,"burst":0}})", name, list);
}

std::string bothOrganisations()
{
    return organisation("ferry", {FerryKey, OtherFerryKey}) + "," + organisation("desk", {DeskKey});
}

bool isEverywhere(const store_fleet &fleet, const std::string &headers, const std::string &status)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.statusOf(i, "/read/1", headers) != status) {
            return false;
        }
    }
    return true;
}

void startWithOrganisations(store_fleet &fleet)
{
    fleet.addWorkerArguments({"--log-headers"});
    fleet.start();
    fleet.writeConfiguration(documentWith(5, bothOrganisations()));
    cr_assert(waitUntil([&] { return isEverywhere(fleet, "", Unknown); }, InForceTime)); // until then, headers are passed on as they are
    cr_assert(isEverywhere(fleet, keyLine(FerryKey), Ok));
}

std::string logsOfWorkers(const store_fleet &fleet)
{
    std::string logs;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        logs += fleet.workerLog(i);
    }
    return logs;
}

// Values of a header, in any case, of the requests with this id that reached a worker.
std::vector<std::string> valuesOf(const store_fleet &fleet, const std::string &id, const std::string &name)
{
    std::vector<std::string> values;
    std::istringstream lines(logsOfWorkers(fleet));
    for (std::string line; std::getline(lines, line);) {
        std::istringstream fields(line);
        std::string kind;
        std::string request;
        std::string header;
        std::string at;
        std::string value;
        fields >> kind >> request >> header >> at >> value;
        if (kind == "header" && request == id && strcasecmp(header.c_str(), name.c_str()) == 0) {
            values.push_back(value);
        }
    }
    return values;
}

std::string statusWith(const store_fleet &fleet, const std::string &path, const std::string &id, const std::string &headers)
{
    return fleet.request(0, "GET", path, id, "1.1", {}, headers).substr(0, 12);
}

// A connection that is kept for several requests.
class kept_connection
{
public:
    explicit kept_connection(const std::string &address)
        : m_socket(m_io)
    {
        const std::size_t colon = address.find(':');
        m_socket.connect({boost::asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    }

    std::string statusOf(const std::string &headers)
    {
        const std::string text = "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: kept\r\nDeadline-Remaining: 1500\r\n" + headers + "\r\n";
        boost::asio::write(m_socket, boost::asio::buffer(text));
        const std::size_t head = boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(m_received), "\r\n\r\n");
        const std::string answer = m_received.substr(0, head);
        m_received.erase(0, head);
        const std::size_t at = answer.find("Content-Length: ");
        const std::size_t length = std::stoul(answer.substr(at + 16));
        if (m_received.size() < length) {
            boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_received), boost::asio::transfer_exactly(length - m_received.size()));
        }
        m_received.erase(0, length);
        return answer.substr(0, 12);
    }

private:
    boost::asio::io_context m_io;
    tcp::socket m_socket;
    std::string m_received;
};

} // namespace

// Guards against requests that a worker runs without the key of an organisation, with the key itself, or for another organisation.
Test(organisation_keys, only_known_keys_reach_workers_which_get_the_name_instead)
{
    store_fleet fleet;
    startWithOrganisations(fleet);
    const std::vector<std::pair<std::string, std::string>> refused{
        {"none", ""},
        {"empty", "Api-Key:\r\n"},
        {"blank", "Api-Key:   \r\n"},
        {"upper", keyLine("FK-5D1C77A0")},
        {"last_byte", keyLine("fk-5d1c77a1")},
        {"longer", keyLine(FerryKey + "0")},
        {"shorter", keyLine(FerryKey.substr(0, FerryKey.size() - 1))},
        {"two", keyLine(FerryKey) + keyLine(DeskKey)},
        {"same_twice", keyLine(FerryKey) + keyLine(FerryKey)},
        {"list", keyLine(FerryKey + ", " + DeskKey)},
        {"long", keyLine(LongKey)},
        {"other_header", "X-Api-Key: " + FerryKey + "\r\n"},
        {"only_name", "Tenant-Id: ferry\r\n"},
        {"name_and_unknown", "Tenant-Id: ferry\r\n" + keyLine("nobody")},
    };
    for (const auto &[id, headers] : refused) {
        const std::string status = statusWith(fleet, "/read/1", id, headers);
        cr_assert(status == Unknown, "%s: %s", id.c_str(), status.c_str());
        cr_assert(fleet.request(0, "POST", "/book/1", id, "1.1", "x", headers).starts_with(Unknown), "%s", id.c_str());
        cr_assert(valuesOf(fleet, id, "Host").empty(), "%s reached a worker", id.c_str());
    }
    cr_assert(statusWith(fleet, "/read/1?Api-Key=" + FerryKey, "query", "") == Unknown);
    const std::vector<std::pair<std::string, std::string>> served{
        {"plain", keyLine(FerryKey)},
        {"second_key", keyLine(OtherFerryKey)},
        {"spaces", "Api-Key: \t " + FerryKey + " \t\r\n"},
        {"header_case", "aPI-kEY: " + FerryKey + "\r\n"},
        {"own_name", keyLine(FerryKey) + "Tenant-Id: desk\r\nTENANT-ID: desk\r\nTenant_Id: desk\r\n"},
    };
    for (const auto &[id, headers] : served) {
        cr_assert(statusWith(fleet, "/read/1", id, headers) == Ok, "%s", id.c_str());
        cr_assert(valuesOf(fleet, id, "Tenant-Id") == std::vector<std::string>{"ferry"}, "%s", id.c_str());
        cr_assert(valuesOf(fleet, id, "Tenant_Id").empty() && valuesOf(fleet, id, "Api-Key").empty(), "%s", id.c_str());
    }
    cr_assert(statusWith(fleet, "/read/1", "other", keyLine(DeskKey)) == Ok);
    cr_assert(valuesOf(fleet, "other", "Tenant-Id") == std::vector<std::string>{"desk"});
    cr_assert(waitUntil([&] { return not fleet.linesWith("name=organisation_refused").empty(); }));
}

// Guards against calls of workers, which have no key, that are refused, and against names of organisations that callers make up.
Test(organisation_keys, public_routes_need_no_key_and_tell_workers_no_name_that_a_caller_states)
{
    store_fleet fleet;
    startWithOrganisations(fleet);
    cr_assert(statusWith(fleet, "/open/1", "without", "") == Ok);
    cr_assert(statusWith(fleet, "/open/1", "stated", "Tenant-Id: ferry\r\ntenant-id: desk\r\n") == Ok);
    cr_assert(statusWith(fleet, "/open/1", "unknown", keyLine("nobody") + "Tenant-Id: ferry\r\n") == Ok);
    cr_assert(statusWith(fleet, "/open/1", "two", keyLine(FerryKey) + keyLine(DeskKey)) == Ok);
    for (const char *id : {"without", "stated", "unknown", "two"}) {
        cr_assert(valuesOf(fleet, id, "Tenant-Id").empty() && valuesOf(fleet, id, "Api-Key").empty(), "%s", id);
        cr_assert(valuesOf(fleet, id, "Host").size() == 1, "%s", id);
    }
    cr_assert(statusWith(fleet, "/open/1", "known", keyLine(DeskKey)) == Ok);
    cr_assert(valuesOf(fleet, "known", "Tenant-Id") == std::vector<std::string>{"desk"});
}

// Guards against keys that hold for as long as a connection, and at nodes that the store turns away, after they were taken away.
Test(organisation_keys, a_key_that_is_taken_away_ends_on_kept_connections_and_at_nodes_that_the_store_refuses)
{
    store_fleet fleet;
    startWithOrganisations(fleet);
    fleet.setStoreFault(fmt::format("refuse={}", fleet.nodeIp(2)));
    std::vector<std::unique_ptr<kept_connection>> connections;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        connections.push_back(std::make_unique<kept_connection>(fleet.callers(i)));
        cr_assert(connections.back()->statusOf(keyLine(OtherFerryKey)) == Ok);
    }
    fleet.writeConfiguration(documentWith(6, organisation("ferry", {FerryKey}) + "," + organisation("desk", {DeskKey, "dk-new"})));
    std::this_thread::sleep_for(InForceTime);
    for (auto &connection : connections) {
        cr_assert(connection->statusOf(keyLine(OtherFerryKey)) == Unknown);
        cr_assert(connection->statusOf(keyLine(FerryKey)) == Ok);
        cr_assert(connection->statusOf(keyLine("dk-new")) == Ok);
    }
}

// Guards against a key that is passed on with a later attempt only.
Test(organisation_keys, repeated_attempts_have_the_name_and_no_key)
{
    store_fleet fleet;
    startWithOrganisations(fleet);
    fleet.stopWorker(0); // its entry stays: attempts at it are refused by its sidecar and made elsewhere
    for (int i = 0; i < Requests; ++i) {
        cr_assert(statusWith(fleet, "/read/1", "again", keyLine(FerryKey) + "Tenant-Id: desk\r\n") == Ok);
    }
    cr_assert(waitUntil([&] { return not fleet.linesWith("name=attempt_failed request=again").empty(); }));
    const std::vector<std::string> names = valuesOf(fleet, "again", "Tenant-Id");
    cr_assert(names.size() == static_cast<std::size_t>(Requests), "%zu attempts reached a worker", names.size());
    cr_assert(std::all_of(names.begin(), names.end(), [](const std::string &name) { return name == "ferry"; }));
    cr_assert(valuesOf(fleet, "again", "Api-Key").empty());
}

// Guards against keys in logs, metrics, the admin API and requests to workers, of callers that are served and of those that are not.
Test(organisation_keys, a_key_is_nowhere_but_in_the_callers_request)
{
    store_fleet fleet;
    startWithOrganisations(fleet);
    const std::string wrongKey = "wk-77e0";
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.request(i, "GET", "/read/1", "a", "1.1", {}, keyLine(FerryKey));
        fleet.request(i, "POST", "/book/1", "b", "1.1", "x", keyLine(DeskKey));
        fleet.request(i, "GET", "/open/1", "c", "1.1", {}, keyLine(wrongKey));
        fleet.request(i, "GET", "/read/1", "d", "1.1", {}, keyLine(wrongKey));
        fleet.request(i, "GET", "/none/1", "e", "1.1", {}, keyLine(FerryKey));
        fleet.request(i, "GE T", "/read/1", "f", "1.1", {}, keyLine(FerryKey));
    }
    std::this_thread::sleep_for(milliseconds(500)); // log lines are written within 300 ms
    std::string all = logsOfWorkers(fleet);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        all += fleet.node(i).output();
        for (const char *target :
             {"/metrics", "/v1/tables", "/v1/pools", "/v1/explain?host=shop.example&path=/read/1", "/v1/settings", "/v1/config", "/v1/members"}) {
            const http_outcome answer = getHttp(fleet.admin(i), target);
            cr_assert(answer.status == 200, "%s: %u", target, answer.status);
            all += answer.body;
        }
    }
    for (const std::string &key : {FerryKey, OtherFerryKey, DeskKey, wrongKey}) {
        const std::size_t at = all.find(key);
        cr_assert(at == std::string::npos, "%s", all.substr(at > 300 ? at - 300 : 0, 600).c_str());
    }
    cr_assert(all.find("organisations 2") != std::string::npos, "gauge");
}

// Guards against callers that are told to stop asking by a node that knows no keys yet.
Test(organisation_keys, a_node_without_a_table_answers_503)
{
    store_fleet fleet;
    fleet.writeConfiguration(documentWith(5, bothOrganisations()));
    fleet.setStoreFault("silent=yes");
    fleet.startNode(0);
    cr_assert(waitUntil([&] { return fleet.statusOf(0, "/read/1", keyLine(FerryKey)) == "HTTP/1.1 503"; }));
    cr_assert(fleet.statusOf(0, "/read/1") == "HTTP/1.1 503");
}
