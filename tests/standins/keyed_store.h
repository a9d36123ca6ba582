// The stand-in for a platform's metadata store: items with revisions, read by range and watched by revision.
//
//   GET /dandelionstall/kv-range?prefix=P[&after=KEY]                  items, a few a page
//   GET /dandelionstall/kv-watch?prefix=P&after=REVISION&waitMs=N      changes after a revision, as soon as there is one
//   PUT /_put/<key>, PUT /_remove/<key>                                test only: change an item
//   PUT /_fault                                                        test only: "key=value" lines; an empty body ends the faults
//
// Faults:
//   absent=error        error: status 503 to each read; close: the connection is closed without an answer
//   silent=yes          reads are never answered
//   refuse=127.0.0.2    peers with this number get status 503; others are served
//   compact=yes         the history is dropped now: watches from an older revision get status 410
#pragma once

#include "http_server.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace dandelionstall::standins {

class keyed_store : public http_service
{
public:
    explicit keyed_store(asio::io_context &io);

    asio::awaitable<http_reply> answer(const http_request &request, tcp::socket &peer) override;

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    void change(const std::string &key, std::string value, bool removed);
    asio::awaitable<http_reply> read(std::string target, tcp::socket &peer);
    asio::awaitable<http_reply> watch(std::string query, tcp::socket &peer);
    asio::awaitable<void> awaitChange(std::string prefix, std::uint64_t after);
    http_reply range(std::string_view query) const;
    http_reply changesAfter(std::string_view prefix, std::uint64_t after) const;
    bool hasChange(std::string_view prefix, std::uint64_t after) const;
    http_reply setFaults(const std::string &text);

    std::map<std::string, item> m_items; // removed ones too
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldest = 0; // history before it is dropped
    asio::steady_timer m_changed;
    std::string m_absent;
    std::string m_refused; // IP number
    bool m_silent = false;
};

} // namespace dandelionstall::standins
