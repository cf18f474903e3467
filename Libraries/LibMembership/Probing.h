#pragma once

#include <LibMembership/Membership.h>

namespace Briarbend::Membership
{

/// Asks peers to probe members that have not answered yet, and suspects those that answer nobody.
void followUpPings(State &state, Core::TimePoint now, Core::Random &random, Decision &decision);

/// Sends the probes that are due: one routine probe, those of quiet members, and one of a seed.
void startPings(State &state, Core::TimePoint now, Core::Random &random, Decision &decision);

} // namespace Briarbend::Membership
