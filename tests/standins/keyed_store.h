// Stand-in for a platform's metadata store: items with revisions, read by key range and watched by revision.
//
//   GET /dandelionstall/kv-range?prefix=P[&after=KEY]                  items, a page of them; with serializable=1 perhaps old ones
//   GET /dandelionstall/kv-watch?prefix=P&after=REVISION&waitMs=N      changes after a revision; blocks until there is one or waitMs has elapsed
//   PUT /_put/<key>, PUT /_remove/<key>                                test only: changes or removes an item
//   PUT /_rewind                                                       test only: comes back from a copy as old as the body says, in milliseconds;
//                                                                      the era rises by one
//   PUT /_cut                                                          test only: closes the connections of waiting watches without an answer
//   PUT /_fault                                                        test only: "key=value" lines; an empty body clears all faults
//
// Faults:
//   era=none            answers carry no era; by default Store-Era names it, beginning with 1
//   absent=error        error: each read gets status 503; close: the connection is closed without an answer
//   silent=yes          reads are never answered
//   endless=chunk_head  bytes without end in place of answers, see makeEndless()
//   refuse=127.0.0.2    reads from this IP address (or several, with commas between them) get status 503, waiting ones too; others are served
//   mute=127.0.0.2      the same, but these reads are never answered
//   stale=127.0.0.2     serializable reads from this IP address show the store as it was stale_ms before this fault was set
//   compact=yes         drops the history up to now: watches from an older revision get status 410
#pragma once

#include "http_server.h"

#include <dandelionstall/state/types.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace dandelionstall::standins {

struct keyed_store_options {
    std::size_t pageItems = 3;               // of a range read; small, so that tests cover several pages
    std::chrono::milliseconds lapseAfter{0}; // entries of workers that have not been written for this long are removed; 0: never
};

class keyed_store : public http_service
{
public:
    explicit keyed_store(asio::io_context &io, const keyed_store_options &options = {});

    asio::awaitable<http_reply> answer(const http_request &request, tcp::socket &peer) override;

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
        state::time_point writtenAt = {};
    };

    // The content at some time.
    struct copy {
        std::map<std::string, item> items; // includes tombstones of removed items
        std::uint64_t revision = 1;
    };

    // A change, kept for coming back to the time before it.
    struct past_change {
        state::time_point at;
        std::string key;
        item value;
    };

    void change(const std::string &key, std::string value, bool removed);
    void removeLapsed(); // once every LapseCheckInterval
    copy copyOf(state::time_point until) const;
    http_reply rewind(std::chrono::milliseconds age);
    asio::awaitable<http_reply> read(std::string target, tcp::socket &peer);
    asio::awaitable<http_reply> watch(std::string query, tcp::socket &peer);
    asio::awaitable<void> awaitChange(std::string prefix, std::uint64_t after, std::string reader);
    asio::awaitable<http_reply> answerMute(tcp::socket &peer) const;
    http_reply range(std::string_view query, const std::string &reader) const;
    http_reply changesAfter(std::string_view prefix, std::uint64_t after) const;
    bool hasChange(std::string_view prefix, std::uint64_t after) const;
    http_reply setFaults(const std::string &text);

    keyed_store_options m_options;
    asio::steady_timer m_lapseTimer;
    std::map<std::string, item> m_items; // includes tombstones of removed items
    std::vector<past_change> m_past;
    std::uint64_t m_revision = 1;
    std::uint64_t m_era = 1;
    bool m_namesEra = true;
    std::uint64_t m_cuts = 0;              // a watch that began before the latest one is cut
    std::uint64_t m_compactedRevision = 0; // oldest revision that a watch may start from; earlier history is dropped
    asio::steady_timer m_changed;          // never expires; cancelled at each change to wake watches
    std::string m_absent;
    std::string m_endless;    // see makeEndless(); empty sends whole answers
    std::string m_refusedIps; // IP addresses whose reads get status 503, with commas between them
    std::string m_mutedIps;   // IP addresses whose reads are never answered
    std::string m_staleIp;    // IP address whose serializable reads show m_stale
    copy m_stale;
    bool m_silent = false;
};

} // namespace dandelionstall::standins
