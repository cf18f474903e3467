#pragma once

#include <LibMembership/Message.h>
#include <LibMembership/State.h>

namespace Briarbend::Membership
{

/// Alive or suspect.
bool isPresent(const Member &member);

/// Takes in one piece of news. A false report about this instance is refuted by a higher incarnation; then true is returned.
bool applyUpdate(State &state, const MemberUpdate &update, Core::TimePoint now, std::vector<MemberChange> &changes);

/// Another process answers at the member's address: the member is gone at once.
void markReplaced(State &state, const Core::InstanceId &id, Core::TimePoint now, std::vector<MemberChange> &changes);

/// Suspects the member, where it is still alive in this table.
void suspect(State &state, const Core::InstanceId &id, Core::TimePoint now, std::vector<MemberChange> &changes);

/// Lets suspicions and goodbyes run out and forgets members long gone.
void advanceStates(State &state, Core::TimePoint now, std::vector<MemberChange> &changes);

/// Of the members heard within the quiet limit.
std::vector<HeardAge> heardAges(const State &state, Core::TimePoint now);

/// The whole table for a new instance, without members that are gone.
std::vector<MemberUpdate> allUpdates(const State &state, std::size_t count);

Message makeMessage(const State &state, Body body);

} // namespace Briarbend::Membership
