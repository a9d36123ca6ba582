// Stand-in for the platform's configuration service and VM list: a Consul-style read API with blocking queries.
//
//   GET /v1/kv/<key>?raw[&index=N&wait=10s]       value, with X-Consul-Index; blocks until the index exceeds N or wait elapses
//   GET /v1/catalog/nodes[?index=N&wait=10s]      list of VMs as JSON
//   GET /_calls                                   number of reads by key; a blocking query counts once
//   PUT /_set/<key>, PUT /_nodes                  test only: changes a value or the list of VMs
//   PUT /_fault                                   test only: "key=value" lines; an empty body clears all faults
//
// Faults:
//   absent=error        error: each read gets status 500; close: the connection is closed without an answer
//   stale=yes           each read gets the value before the latest change, with the index of that value
//   silent=yes          reads are never answered
//   limit=2000          limit of reads per second; reads beyond it get status 429
#pragma once

#include "http_server.h"

#include <dandelionstall/state/types.h>

#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace dandelionstall::standins {

struct config_faults {
    std::string absent = "no"; // no, error or close
    bool stale = false;
    bool silent = false;
    std::uint64_t limit = 0; // reads per second; 0 is unlimited
};

class config_service : public http_service
{
public:
    explicit config_service(asio::io_context &io);

    void set(const std::string &key, std::string value); // increments the index and wakes blocking queries
    asio::awaitable<http_reply> answer(const http_request &request, tcp::socket &peer) override;

private:
    struct stored_value {
        std::string text;
        std::uint64_t index = 0; // index of the latest change of this value
    };
    struct value_history {
        stored_value last;
        stored_value before; // previous value; equals last until the first change
    };
    struct read_query {
        std::string key;                   // key of the value; NodesKey for the list of VMs
        std::uint64_t index = 0;           // block until the stored index exceeds this; 0 returns at once
        std::chrono::milliseconds wait{0}; // longest time to block
        std::string_view contentType = "text/plain";
    };

    asio::awaitable<http_reply> read(read_query query, tcp::socket &peer);
    asio::awaitable<void> awaitChange(std::string key, std::uint64_t index);
    asio::awaitable<http_reply> readWithFaults(read_query query, tcp::socket &peer);
    const stored_value *find(const std::string &key) const; // returns nullptr when the key is absent
    bool exceedsReadLimit();
    http_reply setFaults(const std::string &text);
    http_reply describeCalls() const;
    static read_query parseQuery(std::string_view target);

    asio::io_context &m_io;
    std::map<std::string, value_history> m_values;
    std::map<std::string, std::uint64_t> m_calls; // number of reads by key
    std::uint64_t m_index = 1;
    asio::steady_timer m_changed; // never expires; cancelled at each change to wake blocking queries
    config_faults m_faults;
    std::uint64_t m_readsInSecond = 0;
    state::time_point m_secondStart;
};

} // namespace dandelionstall::standins
