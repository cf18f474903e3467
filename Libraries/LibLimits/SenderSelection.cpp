#include <LibLimits/SenderSelection.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>

namespace Briarbend::Limits
{

bool isSender(const Core::InstanceId &self, const std::vector<Core::InstanceId> &members, const Core::TargetId &target, std::size_t count)
{
    const auto own = Core::rendezvousWeight(self.value, target.value);
    const auto comesBefore = [&](const Core::InstanceId &member) {
        const auto weight = Core::rendezvousWeight(member.value, target.value);
        return weight > own || (weight == own && member < self);
    };
    return std::ranges::count_if(members, comesBefore) < static_cast<std::ptrdiff_t>(count);
}

} // namespace Briarbend::Limits
