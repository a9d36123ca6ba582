// A platform's key-value store as the product sees it: items with revisions, read by key range and watched by revision.
//
// The product owns the reading (who reads, how often, what a failure means); a store_dialect translates: targets of
// requests, bodies of answers, and the values of items into tables and workers. Pure.
#pragma once

#include <dandelionstall/coordination/worker_directory.h>

#include <string>
#include <string_view>
#include <vector>

namespace dandelionstall::protocol {

// [SECTION] Items

// One item, or the news that it was removed.
struct store_item {
    std::string key;
    std::string value;          // raw bytes
    std::uint64_t revision = 0; // of its last change
    bool removed = false;       // the item is gone; the value is empty
    std::string decodeError;    // why the value cannot be read; empty when it can
};

// Part of a range, or the changes since a revision.
struct store_page {
    std::vector<store_item> items;
    bool truncated = false;         // more items follow the last one
    std::uint64_t asOfRevision = 0; // revision of the store when it answered
};

// The two tables that one item of configuration stands for, as INI text.
struct store_tables {
    std::string routes;
    std::string pools;
};

// [SECTION] Dialect

class store_dialect
{
public:
    virtual ~store_dialect() = default;

    virtual std::string rangeTarget(std::string_view prefix, std::string_view after) const = 0;        // items whose keys follow "after"
    virtual std::string watchTarget(std::uint64_t revision, std::chrono::milliseconds wait) const = 0; // changes of configuration and workers after a revision
    virtual absl::StatusOr<store_page> decodePage(std::string_view body) const = 0;
    virtual absl::StatusOr<store_page> decodeChanges(std::string_view body) const = 0;

    virtual std::string configPrefix() const = 0; // of the item that holds the configuration
    virtual std::string workerPrefix() const = 0; // of the items that announce workers
    virtual absl::StatusOr<store_tables> decodeTables(const store_item &item) const = 0;
    virtual absl::StatusOr<coordination::discovered_worker> decodeWorker(const store_item &item, state::time_point now) const = 0;
};

} // namespace dandelionstall::protocol
