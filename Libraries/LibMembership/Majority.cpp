#include <LibMembership/Majority.h>

#include <LibMembership/Membership.h>

#include <algorithm>

namespace Briarbend::Membership
{

std::size_t countExpected(const State &state)
{
    return static_cast<std::size_t>(std::ranges::count_if(state.members, [](const auto &entry) {
        return entry.second.update.state != MemberState::Leaving && !entry.second.isReplaced;
    }));
}

bool isAmongMajority(const State &state)
{
    return 2 * countAlive(state) > countExpected(state);
}

} // namespace Briarbend::Membership
