// Interface to a platform's key-value store: items with revisions, read by key range and watched by revision.
//
// The code that reads the store decides which node reads, how often, and what a failure means. A store_dialect only
// converts formats: it builds request targets, decodes the bodies of answers, and converts the values of items into
// tables and workers. No I/O.
//
// Index:
//   [SECTION] Items
//   [SECTION] Dialect
#pragma once

#include <dandelionstall/coordination/configuration/worker_directory.h>
#include <dandelionstall/protocol/messages.h>

#include <string>
#include <string_view>
#include <vector>

namespace dandelionstall::protocol {

// [SECTION] Items

// One item, or the tombstone of a removed one.
struct store_item {
    std::string key;
    std::string value;          // value as raw bytes; empty for a tombstone
    std::uint64_t revision = 0; // revision of the store at the item's last change
    bool removed = false;       // whether this is a tombstone
    std::string decodeError;    // reason why the value cannot be decoded; empty otherwise
};

// One page of a range, or the changes since a revision.
struct store_page {
    std::vector<store_item> items;
    bool truncated = false;         // whether the range has more items after the last one
    std::uint64_t asOfRevision = 0; // revision of the store when it answered
};

// The two tables from the item that contains the configuration, as INI text.
struct store_tables {
    std::string routes;
    std::string pools;
};

// [SECTION] Dialect

// How new the answer to a read must be.
enum class read_freshness {
    latest, // everything that the store has acknowledged
    recent, // may be some seconds old; costs the store less
};

class store_dialect
{
public:
    virtual ~store_dialect() = default;

    // Request target for the items whose keys start with the prefix and are greater than "after"; an empty "after" excludes no key.
    virtual std::string rangeTarget(std::string_view prefix, std::string_view after, read_freshness freshness) const = 0;
    virtual std::string watchTarget(std::uint64_t revision, std::chrono::milliseconds wait) const = 0; // request target for the changes after a revision
    virtual absl::StatusOr<store_page> decodePage(std::string_view body) const = 0;
    virtual absl::StatusOr<store_page> decodeChanges(std::string_view body) const = 0;

    virtual absl::StatusOr<std::uint64_t> readEra(const http_headers &headers) const
        = 0;                                      // see coordination/configuration/store_revision.h; 0 when the answer names none
    virtual std::string configPrefix() const = 0; // key prefix of the item with the configuration
    virtual std::string workerPrefix() const = 0; // key prefix of the items that announce workers
    virtual absl::StatusOr<store_tables> decodeTables(const store_item &item) const = 0;
    virtual absl::StatusOr<coordination::discovered_worker> decodeWorker(const store_item &item, state::time_point now) const = 0;
};

} // namespace dandelionstall::protocol
