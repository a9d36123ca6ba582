// Finds the organisation of a key, or of a name, in time that does not depend on the number of organisations.
//
// Build one index per accepted table; it is immutable and shared between threads. Two hash tables with open addressing hold the
// numbers of organisations only; the digests and names stay in the route table.
//
// Usage:
//   organisation_index index(table);
//   const organisation *caller = index.find(digestOfKey(headerValue));   // valid as long as the index
#pragma once

#include <dandelionstall/state/tables.h>

#include <memory>

namespace dandelionstall::state {

class organisation_index
{
public:
    explicit organisation_index(std::shared_ptr<const route_table> table); // keeps a reference to the table, which must not be null

    const organisation *find(const key_digest &digest) const;    // nullptr when no organisation has this key
    const organisation *findByName(std::string_view name) const; // nullptr when there is none
    const route_table &table() const;
    std::size_t memoryBytes() const; // memory of the index in bytes, without the table

private:
    std::shared_ptr<const route_table> m_table;
    std::vector<std::uint32_t> m_keySlots;  // number of the organisation plus one; 0 when free; the size is a power of two
    std::vector<std::uint32_t> m_nameSlots; // as above
};

} // namespace dandelionstall::state
