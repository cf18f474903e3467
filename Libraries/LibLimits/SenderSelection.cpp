#include <LibLimits/SenderSelection.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>

namespace Briarbend::Limits
{

std::size_t senderRank(const Core::InstanceId &self, const std::vector<Core::InstanceId> &members, const Core::TargetId &target)
{
    const auto own = Core::rendezvousWeight(self.value, target.value);
    const auto comesBefore = [&](const Core::InstanceId &member) {
        const auto weight = Core::rendezvousWeight(member.value, target.value);
        return weight > own || (weight == own && member < self);
    };
    return static_cast<std::size_t>(std::ranges::count_if(members, comesBefore));
}

bool isSender(const Core::InstanceId &self, const std::vector<Core::InstanceId> &members, const Core::TargetId &target, std::size_t count)
{
    return senderRank(self, members, target) < count;
}

} // namespace Briarbend::Limits
