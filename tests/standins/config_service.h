// The stand-in for the platform's configuration service and VM list: a Consul-style read API with blocking queries.
//
//   GET /v1/kv/<key>?raw[&index=N&wait=10s]       value, with X-Consul-Index; waits while the index is not above N
//   GET /v1/catalog/nodes[?index=N&wait=10s]      list of VMs as JSON
//   GET /_calls                                   counts of calls, a waiting one counted once
//   PUT /_set/<key>, PUT /_nodes                  test only: change a value or the list
//   PUT /_fault                                   test only: "key=value" lines; an empty body ends the faults
//
// Faults:
//   absent=error        error: status 500 to each read; close: the connection is closed without an answer
//   stale=yes           each read gets the value before the last change, with its index
//   silent=yes          reads are never answered
//   limit=2000          reads a second; those above get status 429
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
    std::uint64_t limit = 0; // reads a second; 0 is unlimited
};

class config_service : public http_service
{
public:
    explicit config_service(asio::io_context &io);

    void set(const std::string &key, std::string value); // grows the index and wakes the waiting calls
    asio::awaitable<http_reply> answer(const http_request &request, tcp::socket &peer) override;

private:
    struct stored_value {
        std::string text;
        std::uint64_t index = 0; // of its last change
    };
    struct value_history {
        stored_value last;
        stored_value before; // equals last until the first change
    };
    struct read_query {
        std::string key;                   // NodesKey for the list of VMs
        std::uint64_t index = 0;           // wait while the stored index is not above this; 0 does not wait
        std::chrono::milliseconds wait{0}; // at most this long
        std::string_view contentType = "text/plain";
    };

    asio::awaitable<http_reply> read(read_query query, tcp::socket &peer);
    asio::awaitable<void> awaitChange(std::string key, std::uint64_t index);
    asio::awaitable<http_reply> readFaulty(read_query query, tcp::socket &peer);
    const stored_value *find(const std::string &key) const; // nullptr when absent
    bool overLimit();
    http_reply setFaults(const std::string &text);
    http_reply describeCalls() const;
    static read_query parseQuery(std::string_view target);

    asio::io_context &m_io;
    std::map<std::string, value_history> m_values;
    std::map<std::string, std::uint64_t> m_calls; // by key
    std::uint64_t m_index = 1;
    asio::steady_timer m_changed; // cancelled at each change
    config_faults m_faults;
    std::uint64_t m_readsInSecond = 0;
    state::time_point m_secondStart;
};

} // namespace dandelionstall::standins
