#include <dandelionstall/coordination/membership/member.h>

namespace dandelionstall::coordination {

std::string_view memberStateName(member_state state)
{
    switch (state) {
    case member_state::listed:
        return "listed";
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    }
    return "listed";
}

} // namespace dandelionstall::coordination
