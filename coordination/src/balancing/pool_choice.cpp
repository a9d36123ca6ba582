#include <dandelionstall/coordination/balancing/pool_choice.h>

namespace dandelionstall::coordination {

std::string_view choosePool(const state::route &route, std::uint64_t random)
{
    std::uint64_t sum = 0;
    for (const state::pool_share &share : route.poolShares) {
        sum += share.weight;
    }
    if (sum == 0) {
        return route.pool;
    }
    std::uint64_t point = random % sum;
    for (const state::pool_share &share : route.poolShares) {
        if (point < share.weight) {
            return share.pool;
        }
        point -= share.weight;
    }
    return route.pool;
}

} // namespace dandelionstall::coordination
