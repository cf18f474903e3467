#include <LibMembership/Probing.h>

#include <LibMembership/Table.h>

#include <algorithm>

namespace Briarbend::Membership
{

namespace
{

/// Number of peers that are asked to probe a member that has not acknowledged a ping.
constexpr std::size_t INDIRECT_PROBES = 2;

template<typename Value>
void shuffle(std::vector<Value> &values, Core::Random &random)
{
    for (auto left = values.size(); left > 1; --left) {
        std::swap(values[left - 1], values[random.below(left)]);
    }
}

bool isPinged(const State &state, const Core::InstanceId &id)
{
    return std::ranges::any_of(state.pendingPings, [&id](const auto &item) {
        return item.second.expected == id;
    });
}

/// True where the member has been heard, through a peer, since the ping was sent: only the ping or its acknowledgement was lost.
bool isHeardSince(const State &state, const PendingPing &pending)
{
    const auto *member = pending.expected ? find(state, *pending.expected) : nullptr;
    return member != nullptr && member->lastHeard && *member->lastHeard > pending.sentAt;
}

bool hasHeardAnyone(const State &state)
{
    return std::ranges::any_of(state.members, [&state](const auto &item) {
        return item.first != state.self && isPresent(item.second) && item.second.lastHeard;
    });
}

void ping(State &state, const PeerAddress &to, std::optional<Core::InstanceId> expected, Core::TimePoint now, Decision &decision)
{
    const bool needsTable = (now - state.startedAt < JOIN_PERIOD || !state.hasWholeTable) && now >= state.nextTableRequest;
    if (needsTable) {
        state.nextTableRequest = now + TABLE_REQUEST_INTERVAL;
    }
    const Ping body{state.nextSequence++, needsTable || !hasHeardAnyone(state), recentAges(state, now)};
    auto message = makeMessage(state, body);
    const auto *member = expected ? find(state, *expected) : nullptr;
    if (member != nullptr && member->update.state != MemberState::Alive) {
        message.updates.push_back(member->update);
    }
    state.pendingPings[body.sequence] = {to, std::move(expected), now, false, body.wantsMembers, std::nullopt, 0};
    decision.messages.push_back({to, std::move(message)});
}

/// Returns the next member in a random permutation of all members. Source: SWIM, section 4.3.
std::optional<Core::InstanceId> nextRoutineProbe(State &state, Core::Random &random)
{
    for (int round = 0; round < 2; ++round) {
        while (!state.probeOrder.empty()) {
            auto id = std::move(state.probeOrder.back());
            state.probeOrder.pop_back();
            const auto found = state.members.find(id);
            if (found != state.members.end() && isPresent(found->second) && !isPinged(state, id)) {
                return id;
            }
        }
        for (const auto &[id, member] : state.members) {
            if (id != state.self && isPresent(member)) {
                state.probeOrder.push_back(id);
            }
        }
        shuffle(state.probeOrder, random);
    }
    return std::nullopt;
}

void pingRoutine(State &state, Core::TimePoint now, Core::Random &random, Decision &decision)
{
    if (now < state.nextProbe && !state.isProbeDue) {
        return;
    }
    state.isProbeDue = false;
    const auto interval = state.isConfirmed ? PROBE_INTERVAL : UNCONFIRMED_PROBE_INTERVAL;
    // Jitter keeps instances that started together from probing together.
    state.nextProbe = now + std::chrono::duration_cast<Core::Duration>(interval * (0.8 + 0.4 * random.unit()));
    if (const auto id = nextRoutineProbe(state, random)) {
        ping(state, state.members.at(*id).update.address, *id, now, decision);
    }
}

void pingSilent(State &state, Core::TimePoint now, Core::Random &random, Decision &decision)
{
    const auto members = static_cast<std::int64_t>(state.members.size());
    const std::chrono::milliseconds threshold = std::max(SILENCE_THRESHOLD, SILENCE_THRESHOLD_PER_MEMBER * members);
    const auto isSilent = [now, threshold](const Member &member) {
        // A new member has the same time to be heard through peers.
        return isPresent(member) && now - member.lastHeard.value_or(member.stateSince) > threshold;
    };
    const auto waiting = static_cast<std::size_t>(std::ranges::count_if(state.pendingPings, [&](const auto &item) {
        const auto *member = item.second.expected ? find(state, *item.second.expected) : nullptr;
        return member != nullptr && isSilent(*member);
    }));
    if (waiting >= MAX_OUT_OF_TURN_PROBES) {
        return;
    }
    std::vector<const Member *> silentMembers;
    for (const auto &[id, member] : state.members) {
        if (id != state.self && isSilent(member) && !isPinged(state, id)) {
            silentMembers.push_back(&member);
        }
    }
    // The choice is random, so that instances that do not hear the same members do not all start with the same one.
    if (!silentMembers.empty()) {
        const auto &update = silentMembers[random.below(silentMembers.size())]->update;
        ping(state, update.address, update.id, now, decision);
    }
}

void pingSeed(State &state, Core::TimePoint now, Core::Random &random, Decision &decision)
{
    if (now < state.nextSeedProbe) {
        return;
    }
    // Until any peer has been heard, seeds are probed at the interval of an unconfirmed instance.
    state.nextSeedProbe = now + (hasHeardAnyone(state) ? SEED_INTERVAL : UNCONFIRMED_PROBE_INTERVAL);
    auto candidates = state.seeds;
    candidates.insert(state.listed.begin(), state.listed.end());
    for (const auto &[id, member] : state.members) {
        if (member.update.state == MemberState::Gone && !member.isReplaced) {
            candidates.insert(member.update.address);
        }
    }
    for (const auto &[id, member] : state.members) {
        if (member.update.state != MemberState::Gone) {
            candidates.erase(member.update.address);
        }
    }
    if (!candidates.empty()) {
        const auto chosen = std::next(candidates.begin(), static_cast<std::ptrdiff_t>(random.below(candidates.size())));
        ping(state, *chosen, std::nullopt, now, decision);
    }
}

} // namespace

void followUpPings(State &state, Core::TimePoint now, Core::Random &random, Decision &decision)
{
    for (auto &[sequence, pending] : state.pendingPings) {
        if (pending.isIndirectSent || !pending.expected || now - pending.sentAt < PING_TIMEOUT || isHeardSince(state, pending)) {
            continue;
        }
        pending.isIndirectSent = true;
        auto helpers = randomPeers(state, INDIRECT_PROBES + 1, random);
        std::erase(helpers, pending.to);
        helpers.resize(std::min(helpers.size(), INDIRECT_PROBES));
        for (auto &helper : helpers) {
            decision.messages.push_back({std::move(helper), makeMessage(state, PingRequest{sequence, pending.to})});
        }
    }
    std::vector<Core::InstanceId> silent;
    std::erase_if(state.pendingPings, [&](const auto &item) {
        const auto &pending = item.second;
        if (now - pending.sentAt < PROBE_TIMEOUT) {
            return false;
        }
        if (pending.expected && !isHeardSince(state, pending)) {
            silent.push_back(*pending.expected);
        }
        return true;
    });
    for (const auto &id : silent) {
        const auto *member = find(state, id);
        if (member != nullptr && member->update.state == MemberState::Alive) {
            suspect(state, id, now, decision.changes);
            // The ping carries the suspicion, so that the member can refute it without waiting for the update to reach it.
            ping(state, member->update.address, id, now, decision);
        }
    }
}

void startPings(State &state, Core::TimePoint now, Core::Random &random, Decision &decision)
{
    pingRoutine(state, now, random, decision);
    pingSilent(state, now, random, decision);
    pingSeed(state, now, random, decision);
}

std::vector<PeerAddress> randomPeers(const State &state, std::size_t count, Core::Random &random)
{
    std::vector<PeerAddress> peers;
    for (const auto &[id, member] : state.members) {
        if (id != state.self && isPresent(member) && member.lastHeard) {
            peers.push_back(member.update.address);
        }
    }
    shuffle(peers, random);
    peers.resize(std::min(count, peers.size()));
    return peers;
}

} // namespace Briarbend::Membership
