#pragma once

#include <LibMembership/Message.h>
#include <LibMembership/State.h>

namespace Briarbend::Membership
{

/// Alive or suspect.
bool isPresent(const Member &member);

/// Applies one update. A false report about this instance is refuted by a higher incarnation; then true is returned.
bool applyUpdate(State &state, const MemberUpdate &update, Core::TimePoint now, std::vector<MemberChange> &changes);

/// Marks a member as gone at once, because another process replies at its address.
void markReplaced(State &state, const Core::InstanceId &id, Core::TimePoint now, std::vector<MemberChange> &changes);

/// Marks the member as suspect if it is alive in this table.
void suspect(State &state, const Core::InstanceId &id, Core::TimePoint now, std::vector<MemberChange> &changes);

/// Marks members as gone whose suspicion or leaving has timed out, and removes members after GONE_RETENTION.
void advanceStates(State &state, Core::TimePoint now, std::vector<MemberChange> &changes);

/// Returns the most recent ages of members that were heard within SILENCE_THRESHOLD, as many as a routine message carries.
std::vector<HeardAge> recentAges(const State &state, Core::TimePoint now);

/// Returns the ages of all members that have been heard, at most MAX_HEARD_AGE each, for a new instance.
std::vector<HeardAge> allAges(const State &state, Core::TimePoint now);

/// Returns the whole table for a new instance, without this instance and members that are gone.
std::vector<MemberUpdate> allUpdates(const State &state);

/// Stops forwarding the latest update about a member.
void stopForwarding(State &state, const Core::InstanceId &id);

Message makeMessage(const State &state, Body body);

} // namespace Briarbend::Membership
