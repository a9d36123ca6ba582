// Position of a statement of the platform's store: which of two statements about the same item is newer.
//
// A store that comes back from an older copy gives out revisions again that it has used before. It then has a higher era, and
// whatever it states in that era is newer than everything before. A store without eras has era 0.
#pragma once

#include <compare>
#include <cstdint>

namespace dandelionstall::coordination {

struct store_revision {
    std::uint64_t era = 0;      // rises when the store comes back from an older copy
    std::uint64_t revision = 0; // rises with each change within an era

    friend auto operator<=>(const store_revision &, const store_revision &) = default;
};

} // namespace dandelionstall::coordination
