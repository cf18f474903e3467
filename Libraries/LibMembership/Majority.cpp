#include <LibMembership/Majority.h>

#include <LibMembership/Membership.h>

#include <algorithm>

namespace Briarbend::Membership
{

bool isAmongMajority(const State &state)
{
    const auto known = std::ranges::count_if(state.members, [](const auto &entry) {
        return entry.second.update.state != MemberState::Leaving && !entry.second.isReplaced;
    });
    return 2 * countAlive(state) > static_cast<std::size_t>(known);
}

} // namespace Briarbend::Membership
