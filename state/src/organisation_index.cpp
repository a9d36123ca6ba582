#include <dandelionstall/state/organisation_index.h>

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace dandelionstall::state {

namespace {

constexpr std::size_t SlotsPerEntry = 2; // at most half of the slots are in use
constexpr std::size_t MinSlots = 8;

std::size_t slotCount(std::size_t entries)
{
    return std::bit_ceil(std::max(MinSlots, entries * SlotsPerEntry));
}

std::uint64_t hashName(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

bool hasKey(const organisation &row, const key_digest &digest)
{
    return std::binary_search(row.keys.begin(), row.keys.end(), digest);
}

void insert(std::vector<std::uint32_t> &slots, std::uint64_t hash, std::uint32_t number)
{
    std::size_t slot = hash & (slots.size() - 1);
    while (slots[slot] != 0) {
        slot = (slot + 1) & (slots.size() - 1);
    }
    slots[slot] = number + 1;
}

// Returns the first organisation of the probe sequence that the predicate accepts.
template<typename predicate>
const organisation *probe(const std::vector<std::uint32_t> &slots, std::uint64_t hash, const route_table &table, const predicate &isWanted)
{
    for (std::size_t slot = hash & (slots.size() - 1); slots[slot] != 0; slot = (slot + 1) & (slots.size() - 1)) {
        const organisation &row = table.organisations[slots[slot] - 1];
        if (isWanted(row)) {
            return &row;
        }
    }
    return nullptr;
}

} // namespace

organisation_index::organisation_index(std::shared_ptr<const route_table> table)
    : m_table(std::move(table))
{
    std::size_t keys = 0;
    for (const organisation &row : m_table->organisations) {
        keys += row.keys.size();
    }
    m_keySlots.resize(slotCount(keys));
    m_nameSlots.resize(slotCount(m_table->organisations.size()));
    for (std::uint32_t i = 0; i < m_table->organisations.size(); ++i) {
        const organisation &row = m_table->organisations[i];
        insert(m_nameSlots, hashName(row.name), i);
        for (const key_digest &digest : row.keys) {
            insert(m_keySlots, digest.low, i);
        }
    }
}

const organisation *organisation_index::find(const key_digest &digest) const
{
    return probe(m_keySlots, digest.low, *m_table, [&](const organisation &row) { return hasKey(row, digest); });
}

const organisation *organisation_index::findByName(std::string_view name) const
{
    return probe(m_nameSlots, hashName(name), *m_table, [&](const organisation &row) { return row.name == name; });
}

const route_table &organisation_index::table() const
{
    return *m_table;
}

std::size_t organisation_index::memoryBytes() const
{
    return (m_keySlots.capacity() + m_nameSlots.capacity()) * sizeof(std::uint32_t);
}

} // namespace dandelionstall::state
