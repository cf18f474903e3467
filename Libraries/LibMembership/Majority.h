#pragma once

#include <LibMembership/State.h>

namespace Briarbend::Membership
{

/// Number of members that are not known to have ended: those that are alive, and those that failed without leaving, for GONE_RETENTION.
std::size_t countExpected(const State &state);

/// False at an instance that is partitioned from most others, which must not decide for them.
bool isAmongMajority(const State &state);

} // namespace Briarbend::Membership
