// Finds the route of a request in time that depends on the depth of its path, not on the size of the table.
//
// Gives the same answer as matchRoute(). Build one per accepted table and share it between threads; it never changes.
// Routes with the same host and path form a chain in table order, and an open-addressing hash table finds the chain.
#pragma once

#include <dandelionstall/state/tables.h>

#include <memory>

namespace dandelionstall::state {

class route_index
{
public:
    explicit route_index(std::shared_ptr<const route_table> table); // keeps the table alive; never null

    const route *match(std::string_view host, std::string_view path, std::string_view method) const; // nullptr when none
    const route_table &table() const;
    std::size_t memoryBytes() const; // of the index, without the table

private:
    const route *matchHost(std::string_view host, std::string_view path, std::string_view method) const;
    std::uint32_t findChain(std::string_view host, std::string_view prefix) const;
    void insert(std::uint32_t routeNumber);

    std::shared_ptr<const route_table> m_table;
    std::vector<std::uint32_t> m_slots; // first route of a chain plus one; 0 when free; size is a power of two
    std::vector<std::uint32_t> m_next;  // next route of the chain plus one, by route; 0 at the end
    std::size_t m_longestPrefix = 1;    // bytes of the longest path prefix
};

} // namespace dandelionstall::state
