// Finds the route of a request in time that depends on the depth of its path, not on the size of the table.
//
// Returns the same route as matchRoute(). Build one index per accepted table; it is immutable and can be shared between
// threads. Routes with the same host and path form a chain in table order, and a hash table with open addressing finds
// the chain.
#pragma once

#include <dandelionstall/state/tables.h>

#include <memory>

namespace dandelionstall::state {

class route_index
{
public:
    explicit route_index(std::shared_ptr<const route_table> table); // keeps a reference to the table, which must not be null

    const route *match(std::string_view host, std::string_view path, std::string_view method) const; // nullptr when no route matches
    const route_table &table() const;
    std::size_t memoryBytes() const; // memory of the index in bytes, without the table

private:
    const route *matchHost(std::string_view host, std::string_view path, std::string_view method) const;
    std::uint32_t findChain(std::string_view host, std::string_view prefix) const;
    void insert(std::uint32_t routeNumber);

    std::shared_ptr<const route_table> m_table;
    std::vector<std::uint32_t> m_slots; // number of a chain's first route plus one; 0 when free; the size is a power of two
    std::vector<std::uint32_t> m_next;  // for each route, the number of the next route in its chain plus one; 0 at the end
    std::size_t m_longestPrefix = 1;    // length of the longest path prefix, in bytes
};

} // namespace dandelionstall::state
