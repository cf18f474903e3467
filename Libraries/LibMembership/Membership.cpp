#include <LibMembership/Membership.h>

#include <LibCore/RendezvousHash.h>
#include <LibMembership/Probing.h>
#include <LibMembership/Table.h>

#include <algorithm>
#include <functional>

namespace Briarbend::Membership
{

namespace
{

/// True where the member has been heard and is neither leaving nor gone.
bool isAlive(const Member &member)
{
    return isPresent(member) && member.lastHeard.has_value();
}

void raise(std::optional<Core::TimePoint> &moment, Core::TimePoint candidate)
{
    moment = std::max(moment.value_or(candidate), candidate);
}

/// Both kinds of ages in an acknowledgement count from the time the acknowledged ping was sent. The acknowledgement was sent later, so a
/// member ran no earlier than that. The ages in a ping count from its arrival, which proves nothing because the ping may have been delayed.
void applyAges(State &state, std::vector<HeardAge> ages, Core::TimePoint reference, bool isAcknowledged)
{
    std::ranges::sort(ages, {}, &HeardAge::memberHash);
    for (auto &[id, member] : state.members) {
        const auto hash = memberHash(id);
        const auto age = std::ranges::lower_bound(ages, hash, {}, &HeardAge::memberHash);
        if (age == ages.end() || age->memberHash != hash || id == state.self) {
            continue;
        }
        raise(member.lastHeard, reference - age->heard);
        if (isAcknowledged && age->acknowledged < MAX_HEARD_AGE) {
            raise(member.lastAcknowledged, reference - age->acknowledged);
        }
    }
}

/// True if the message carries the member table that this instance requested.
bool isTableReply(const State &state, const Message &message)
{
    const auto *acknowledgement = std::get_if<Acknowledgement>(&message.body);
    const auto pending = acknowledgement == nullptr ? state.pendingPings.end() : state.pendingPings.find(acknowledgement->sequence);
    return pending != state.pendingPings.end() && pending->second.wantsMembers;
}

void recordHeard(State &state, const Core::InstanceId &id, Core::TimePoint moment, bool isAcknowledged)
{
    const auto found = state.members.find(id);
    if (found == state.members.end()) {
        return;
    }
    raise(found->second.lastHeard, moment);
    if (isAcknowledged) {
        raise(found->second.lastAcknowledged, moment);
    }
}

/// Handles the body of one message.
struct Receiver {
    State &state;
    const Message &message;
    Core::TimePoint now;
    Decision &decision;

    void operator()(std::monostate) const
    {
    }

    void operator()(const Ping &ping) const
    {
        applyAges(this->state, ping.ages, this->now, false);
        recordHeard(this->state, this->message.sender.id, this->now, false);
        // Pings that waited in buffers during a freeze have timed out at their senders. Acknowledging them all would exhaust the byte
        // budget.
        if (!this->state.isConfirmed && this->now - this->state.unconfirmedSince < TICK_INTERVAL) {
            return;
        }
        auto ages = ping.wantsMembers ? allAges(this->state, this->now) : recentAges(this->state, this->now);
        auto reply = makeMessage(this->state, Acknowledgement{ping.sequence, std::move(ages)});
        if (ping.wantsMembers) {
            reply.updates = allUpdates(this->state);
        }
        // A sender that is not alive in this table must learn it from the first reply, to refute it.
        const auto &sender = this->state.members.at(this->message.sender.id);
        if (sender.update.state != MemberState::Alive) {
            reply.updates.push_back(sender.update);
        }
        this->decision.messages.push_back({this->message.sender.address, std::move(reply)});
    }

    void operator()(const Acknowledgement &acknowledgement) const
    {
        const auto found = this->state.pendingPings.find(acknowledgement.sequence);
        if (found == this->state.pendingPings.end()) {
            return;
        }
        const auto pending = found->second;
        this->state.pendingPings.erase(found);
        const auto &sender = this->message.sender.id;
        recordHeard(this->state, sender, pending.sentAt, true);
        applyAges(this->state, acknowledgement.ages, pending.sentAt, true);
        if (pending.expected && *pending.expected != sender && pending.to == this->message.sender.address) {
            markReplaced(this->state, *pending.expected, this->now, this->decision.changes);
        }
        if (pending.requester) {
            this->decision.messages.push_back(
                {*pending.requester, makeMessage(this->state, IndirectAcknowledgement{pending.requesterSequence, sender})});
        }
        this->decision.acknowledgingMember = sender;
    }

    void operator()(const PingRequest &request) const
    {
        const auto sequence = this->state.nextSequence++;
        this->state.pendingPings[sequence]
            = {request.target, std::nullopt, this->now, true, false, this->message.sender.address, request.sequence};
        this->decision.messages.push_back({request.target, makeMessage(this->state, Ping{sequence, false, {}})});
    }

    void operator()(const IndirectAcknowledgement &acknowledgement) const
    {
        const auto found = this->state.pendingPings.find(acknowledgement.sequence);
        if (found == this->state.pendingPings.end() || found->second.expected != acknowledgement.target) {
            return;
        }
        recordHeard(this->state, acknowledgement.target, found->second.sentAt, true);
        this->state.pendingPings.erase(found);
    }
};

} // namespace

State makeState(MemberUpdate self, std::set<PeerAddress> seeds, Core::TimePoint now)
{
    State state;
    state.self = self.id;
    state.seeds = std::move(seeds);
    state.nextProbe = now;
    state.nextSeedProbe = now;
    state.startedAt = now;
    state.nextTableRequest = now;
    state.lastActive = now;
    state.unconfirmedSince = now;
    // A process that replaces another at its address must not take acknowledgements of the other's pings for those of its own.
    state.nextSequence = std::uint64_t{memberHash(self.id) & 0xFFFFU} << 16U;
    const auto id = self.id;
    state.members[id] = Member{std::move(self), now, now, now, 0, false};
    return state;
}

Decision tick(State &state, Core::TimePoint now, Core::Random &random)
{
    observeTime(state, now);
    Decision decision;
    advanceStates(state, now, decision.changes);
    followUpPings(state, now, random, decision);
    startPings(state, now, random, decision);
    return decision;
}

Decision receive(State &state, const Message &message, Core::TimePoint now)
{
    observeTime(state, now);
    Decision decision;
    if (message.sender.id == state.self) {
        return decision;
    }
    applyUpdate(state, message.sender, now, decision.changes);
    if (const auto sender = state.members.find(message.sender.id); sender != state.members.end()) {
        sender->second.isInformed = message.isInformed;
    }
    const bool isTable = isTableReply(state, message);
    if (isTable) {
        // A reply that the sender's byte budget cut short holds no members.
        state.hasWholeTable = !message.updates.empty();
    }
    std::ranges::for_each(message.updates, [&](const MemberUpdate &update) {
        const bool isKnown = state.members.contains(update.id);
        decision.hasRefuted |= applyUpdate(state, update, now, decision.changes);
        // Other new instances request the table as well. Forwarding all of it would hold up later updates.
        if (isTable && !isKnown) {
            state.hasWholeTable = false;
            stopForwarding(state, update.id);
        }
    });
    std::visit(Receiver{state, message, now, decision}, message.body);
    return decision;
}

Decision leave(State &state, Core::TimePoint now)
{
    auto &self = state.members.at(state.self);
    ++self.update.incarnation;
    self.update.state = MemberState::Leaving;
    self.stateSince = now;
    self.transmissions = 0;
    Decision decision;
    for (const auto &[id, member] : state.members) {
        if (id != state.self && member.update.state != MemberState::Gone) {
            decision.messages.push_back({member.update.address, makeMessage(state, std::monostate{})});
        }
    }
    return decision;
}

void applyInstanceList(State &state, const std::set<PeerAddress> &live)
{
    state.listed = live;
    for (auto &[id, member] : state.members) {
        if (member.update.state == MemberState::Gone && !live.contains(member.update.address)) {
            member.isReplaced = true;
        }
    }
}

void onPeerUnreachable(State &state, const PeerAddress &peer)
{
    const auto found = std::ranges::find_if(state.members, [&peer](const auto &item) {
        return item.second.update.address == peer && isPresent(item.second);
    });
    if (found != state.members.end() && found->first != state.self) {
        std::erase(state.probeOrder, found->first);
        state.probeOrder.push_back(found->first);
        state.isProbeDue = true;
    }
}

void cancelPing(State &state, const PeerAddress &peer)
{
    std::erase_if(state.pendingPings, [&peer](const auto &item) {
        return item.second.to == peer;
    });
}

bool hasJoined(const State &state, Core::TimePoint now)
{
    return state.hasWholeTable || now - state.startedAt >= JOIN_PERIOD;
}

std::vector<Core::InstanceId> aliveMembers(const State &state)
{
    std::vector<Core::InstanceId> alive;
    for (const auto &[id, member] : state.members) {
        if (isAlive(member)) {
            alive.push_back(id);
        }
    }
    return alive;
}

std::size_t countAlive(const State &state)
{
    return static_cast<std::size_t>(std::ranges::count_if(state.members, [](const auto &entry) {
        return isAlive(entry.second);
    }));
}

std::size_t aliveFingerprint(const State &state)
{
    constexpr std::size_t MULTIPLIER = 1'000'003;
    std::size_t fingerprint = 0;
    for (const auto &[id, member] : state.members) {
        if (isAlive(member)) {
            fingerprint = fingerprint * MULTIPLIER + std::hash<std::string>{}(id.value) + member.update.linkMegabits;
        }
    }
    return fingerprint;
}

std::vector<Core::InstanceId> widestFirst(const State &state, const std::vector<Core::InstanceId> &candidates, std::string_view key)
{
    std::vector<std::string> names;
    std::ranges::transform(candidates, std::back_inserter(names), &Core::InstanceId::value);
    std::vector<Core::InstanceId> ranked;
    std::ranges::transform(Core::rendezvousOrder(names, key, names.size()), std::back_inserter(ranked), [](std::string &name) {
        return Core::InstanceId{std::move(name)};
    });
    std::ranges::stable_sort(ranked, std::ranges::greater{}, [&state](const Core::InstanceId &id) {
        const auto *member = find(state, id);
        return member == nullptr ? 0 : member->update.linkMegabits;
    });
    return ranked;
}

std::vector<std::string> addressesOf(const State &state, const std::vector<Core::InstanceId> &members)
{
    std::vector<std::string> addresses;
    for (const auto &id : members) {
        const auto *member = find(state, id);
        if (member != nullptr && id != state.self) {
            addresses.push_back(member->update.address.value);
        }
    }
    return addresses;
}

std::optional<std::string> peerInTurn(const State &state, std::size_t turn)
{
    auto others = aliveMembers(state);
    std::erase(others, state.self);
    if (others.empty()) {
        return std::nullopt;
    }
    const auto following = static_cast<std::size_t>(std::ranges::upper_bound(others, state.self) - others.begin());
    return find(state, others[(following + turn) % others.size()])->update.address.value;
}

const Member *find(const State &state, const Core::InstanceId &id)
{
    const auto found = state.members.find(id);
    return found == state.members.end() ? nullptr : &found->second;
}

bool hasQuorum(const State &state, Core::Duration window, Core::TimePoint now)
{
    const auto counts = [](const auto &item) {
        const auto &member = item.second;
        return member.lastAcknowledged && !member.isReplaced && member.update.state != MemberState::Leaving;
    };
    const auto isRecent = [&](const auto &item) {
        return counts(item) && (item.first == state.self || now - *item.second.lastAcknowledged <= window);
    };
    const auto total = std::ranges::count_if(state.members, counts);
    return std::ranges::count_if(state.members, isRecent) * 2 > total;
}

bool isConfirmed(const State &state, Core::TimePoint now)
{
    return state.isConfirmed && now - state.lastActive <= FREEZE_LIMIT;
}

void confirm(State &state, Core::TimePoint now)
{
    observeTime(state, now);
    state.isConfirmed = true;
}

void observeTime(State &state, Core::TimePoint now)
{
    const auto pause = now - state.lastActive;
    state.lastActive = std::max(now, state.lastActive);
    if (pause <= FREEZE_LIMIT) {
        return;
    }
    // This process itself was frozen, so no member is suspected for its silence during the pause. Others may have joined meanwhile.
    state.isConfirmed = false;
    state.hasWholeTable = false;
    state.unconfirmedSince = now;
    state.pendingPings.clear();
    state.nextProbe = now;
    state.nextSeedProbe = now;
    for (auto &[id, member] : state.members) {
        member.stateSince += pause;
    }
}

} // namespace Briarbend::Membership
