#include <LibMembership/Table.h>

#include <LibMembership/Membership.h>

#include <algorithm>
#include <bit>
#include <tuple>
#include <xxhash.h>

namespace Briarbend::Membership
{

namespace
{

/// Maximum number of heard ages in one routine message.
constexpr std::size_t MAX_RECENT_AGES = 16;

bool supersedes(const MemberUpdate &incoming, const MemberUpdate &held)
{
    return std::tie(incoming.incarnation, incoming.state) > std::tie(held.incarnation, held.state);
}

void setState(Member &member, MemberState next, Core::TimePoint now, std::vector<MemberChange> &changes)
{
    member.update.state = next;
    member.stateSince = now;
    member.transmissions = 0;
    changes.push_back({member.update});
}

bool refute(State &state, const MemberUpdate &update)
{
    auto &self = state.members.at(state.self);
    const bool isFalse = update.state != MemberState::Alive && self.update.state != MemberState::Leaving;
    if (!isFalse || update.incarnation < self.update.incarnation) {
        return false;
    }
    self.update.incarnation = update.incarnation + 1;
    self.transmissions = 0;
    return true;
}

} // namespace

bool isPresent(const Member &member)
{
    return member.update.state == MemberState::Alive || member.update.state == MemberState::Suspect;
}

bool applyUpdate(State &state, const MemberUpdate &update, Core::TimePoint now, std::vector<MemberChange> &changes)
{
    if (update.id == state.self) {
        return refute(state, update);
    }
    const auto found = state.members.find(update.id);
    if (found == state.members.end()) {
        // An update that an unknown member is gone has no effect, and storing it would only keep the update circulating.
        if (update.state != MemberState::Gone) {
            state.members[update.id] = Member{update, std::nullopt, std::nullopt, now, 0, false};
            changes.push_back({update});
        }
        return false;
    }
    auto &member = found->second;
    if (!supersedes(update, member.update)) {
        return false;
    }
    const bool isChanged = update.state != member.update.state;
    member.update = update;
    member.transmissions = 0;
    if (isChanged) {
        member.isReplaced = false;
        setState(member, update.state, now, changes);
    }
    return false;
}

void markReplaced(State &state, const Core::InstanceId &id, Core::TimePoint now, std::vector<MemberChange> &changes)
{
    const auto found = state.members.find(id);
    if (found == state.members.end()) {
        return;
    }
    if (found->second.update.state != MemberState::Gone) {
        setState(found->second, MemberState::Gone, now, changes);
    }
    found->second.isReplaced = true;
}

void suspect(State &state, const Core::InstanceId &id, Core::TimePoint now, std::vector<MemberChange> &changes)
{
    const auto found = state.members.find(id);
    if (found != state.members.end() && found->second.update.state == MemberState::Alive) {
        setState(found->second, MemberState::Suspect, now, changes);
    }
}

void advanceStates(State &state, Core::TimePoint now, std::vector<MemberChange> &changes)
{
    for (auto &[id, member] : state.members) {
        const auto age = now - member.stateSince;
        const bool isUnrefuted = member.update.state == MemberState::Suspect && age >= SUSPICION_TIMEOUT;
        const bool hasLeft = member.update.state == MemberState::Leaving && age >= LEAVING_RETENTION && id != state.self;
        if (isUnrefuted || hasLeft) {
            member.isReplaced = hasLeft;
            setState(member, MemberState::Gone, now, changes);
        }
    }
    std::erase_if(state.members, [now](const auto &item) {
        return item.second.update.state == MemberState::Gone && now - item.second.stateSince >= GONE_RETENTION;
    });
}

std::vector<HeardAge> recentAges(const State &state, Core::TimePoint now)
{
    auto ages = allAges(state, now);
    std::erase_if(ages, [](const HeardAge &age) {
        return age.heard > SILENCE_THRESHOLD;
    });
    const auto kept = std::min(ages.size(), MAX_RECENT_AGES);
    std::ranges::partial_sort(ages, ages.begin() + static_cast<std::ptrdiff_t>(kept), {}, &HeardAge::heard);
    ages.resize(kept);
    return ages;
}

std::vector<HeardAge> allAges(const State &state, Core::TimePoint now)
{
    const auto inUnits = [now](Core::TimePoint moment) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - moment);
        return std::min((age / HEARD_AGE_UNIT + 1) * HEARD_AGE_UNIT, MAX_HEARD_AGE);
    };
    std::vector<HeardAge> ages;
    for (const auto &[id, member] : state.members) {
        if (id != state.self && member.lastHeard) {
            const auto acknowledged = member.lastAcknowledged ? inUnits(*member.lastAcknowledged) : MAX_HEARD_AGE;
            ages.push_back({memberHash(id), inUnits(*member.lastHeard), acknowledged});
        }
    }
    return ages;
}

std::vector<MemberUpdate> allUpdates(const State &state)
{
    std::vector<MemberUpdate> updates;
    for (const auto &[id, member] : state.members) {
        if (member.update.state != MemberState::Gone && id != state.self) {
            updates.push_back(member.update);
        }
    }
    return updates;
}

void stopForwarding(State &state, const Core::InstanceId &id)
{
    if (const auto found = state.members.find(id); found != state.members.end()) {
        found->second.transmissions = transmissionLimit(state.members.size());
    }
}

Message makeMessage(const State &state, Body body)
{
    return {state.members.at(state.self).update, state.isConfirmed, state.isInformed, std::move(body), {}};
}

std::vector<MemberUpdate> takeUpdates(State &state, std::size_t count)
{
    const auto limit = transmissionLimit(state.members.size());
    std::vector<Member *> fresh;
    for (auto &[id, member] : state.members) {
        if (member.transmissions < limit) {
            fresh.push_back(&member);
        }
    }
    // Updates sent least often come first; among these the later states, because others wait for them.
    std::ranges::stable_sort(fresh, [](const Member *left, const Member *right) {
        return std::tuple{left->transmissions, right->update.state} < std::tuple{right->transmissions, left->update.state};
    });
    fresh.resize(std::min(count, fresh.size()));
    std::vector<MemberUpdate> updates;
    for (auto *member : fresh) {
        ++member->transmissions;
        updates.push_back(member->update);
    }
    return updates;
}

std::uint32_t transmissionLimit(std::size_t members)
{
    return static_cast<std::uint32_t>(std::bit_width(members)) + 1;
}

std::uint32_t memberHash(const Core::InstanceId &id)
{
    return static_cast<std::uint32_t>(XXH3_64bits(id.value.data(), id.value.size()));
}

} // namespace Briarbend::Membership
