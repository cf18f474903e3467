#pragma once

#include <LibMembership/State.h>

namespace Briarbend::Membership
{

/// False at an instance that is partitioned from most others, which must not decide for them. Members that failed without leaving stay in
/// the count for GONE_RETENTION.
bool isAmongMajority(const State &state);

} // namespace Briarbend::Membership
