#pragma once

#include <LibMembership/Membership.h>

namespace Briarbend::Membership
{

/// Asks peers to probe members that have not acknowledged a ping yet, and suspects members that acknowledge neither direct nor indirect
/// probes.
void followUpPings(State &state, Core::TimePoint now, Core::Random &random, Decision &decision);

/// Sends the probes that are due: a routine probe, a probe of a silent member and a probe of a seed.
void startPings(State &state, Core::TimePoint now, Core::Random &random, Decision &decision);

} // namespace Briarbend::Membership
