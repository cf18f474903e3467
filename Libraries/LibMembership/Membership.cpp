#include <LibMembership/Membership.h>

#include <LibMembership/Probing.h>
#include <LibMembership/Table.h>

#include <algorithm>

namespace Briarbend::Membership
{

namespace
{

/// Heard ages in one acknowledgement; the most recent ones where there are more.
constexpr std::size_t MAX_HEARD_AGES = 64;
/// Members that a new instance is told of at once.
constexpr std::size_t MAX_JOIN_NEWS = 128;

std::vector<HeardAge> heardAges(const State &state, Core::TimePoint now)
{
    std::vector<HeardAge> ages;
    for (const auto &[id, member] : state.members) {
        if (id == state.self || !member.lastHeard || now - *member.lastHeard > QUIET_LIMIT) {
            continue;
        }
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *member.lastHeard);
        ages.push_back({memberHash(id), (age / HEARD_AGE_UNIT + 1) * HEARD_AGE_UNIT});
    }
    const auto kept = std::min(ages.size(), MAX_HEARD_AGES);
    std::ranges::partial_sort(ages, ages.begin() + static_cast<std::ptrdiff_t>(kept), {}, &HeardAge::age);
    ages.resize(kept);
    return ages;
}

void heard(State &state, const Core::InstanceId &id, Core::TimePoint moment)
{
    const auto found = state.members.find(id);
    if (found != state.members.end()) {
        auto &lastHeard = found->second.lastHeard;
        lastHeard = std::max(lastHeard.value_or(moment), moment);
    }
}

/// An age counts from the moment the acknowledged ping was sent: the acknowledgement left later, so the member ran no earlier than that.
void applyHeardAges(State &state, const std::vector<HeardAge> &ages, Core::TimePoint pingSentAt)
{
    for (const auto &[id, member] : state.members) {
        const auto age = std::ranges::find(ages, memberHash(id), &HeardAge::memberHash);
        if (age != ages.end() && id != state.self) {
            heard(state, id, pingSentAt - age->age);
        }
    }
}

/// Answers the body of one message.
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
        auto reply = makeMessage(this->state, Acknowledgement{ping.sequence, heardAges(this->state, this->now)});
        if (ping.wantsMembers) {
            reply.news = allNews(this->state, MAX_JOIN_NEWS);
        }
        // A sender that is not seen alive must learn so from the first answer, to refute it.
        const auto &sender = this->state.members.at(this->message.sender.id);
        if (sender.news.state != MemberState::Alive) {
            reply.news.push_back(sender.news);
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
        heard(this->state, sender, pending.sentAt);
        applyHeardAges(this->state, acknowledgement.heard, pending.sentAt);
        if (pending.expected && *pending.expected != sender && pending.to == this->message.sender.address) {
            markReplaced(this->state, *pending.expected, this->now, this->decision.changes);
        }
        if (pending.requester) {
            this->decision.messages.push_back(
                {*pending.requester, makeMessage(this->state, IndirectAcknowledgement{pending.requesterSequence, sender})});
        }
        this->decision.freshlyHeard = sender;
    }

    void operator()(const PingRequest &request) const
    {
        const auto sequence = this->state.nextSequence++;
        this->state.pendingPings[sequence]
            = {request.target, std::nullopt, this->now, true, this->message.sender.address, request.sequence};
        this->decision.messages.push_back({request.target, makeMessage(this->state, Ping{sequence, false})});
    }

    void operator()(const IndirectAcknowledgement &acknowledgement) const
    {
        const auto found = this->state.pendingPings.find(acknowledgement.sequence);
        if (found == this->state.pendingPings.end() || found->second.expected != acknowledgement.target) {
            return;
        }
        heard(this->state, acknowledgement.target, found->second.sentAt);
        this->state.pendingPings.erase(found);
    }
};

} // namespace

State makeState(MemberNews self, std::set<PeerAddress> seeds, Core::TimePoint now)
{
    State state;
    state.self = self.id;
    state.seeds = std::move(seeds);
    state.nextProbe = now;
    state.nextSeedProbe = now;
    state.lastActive = now;
    state.unconfirmedSince = now;
    // A process that replaces another at its address must not take answers to the other's pings for answers to its own.
    state.nextSequence = std::uint64_t{memberHash(self.id) & 0xFFFFU} << 16U;
    const auto id = self.id;
    state.members[id] = Member{std::move(self), now, now, 0, false};
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
    applyNews(state, message.sender, now, decision.changes);
    std::ranges::for_each(message.news, [&](const MemberNews &news) {
        applyNews(state, news, now, decision.changes);
    });
    std::visit(Receiver{state, message, now, decision}, message.body);
    return decision;
}

Decision leave(State &state, Core::TimePoint now)
{
    auto &self = state.members.at(state.self);
    ++self.news.incarnation;
    self.news.state = MemberState::Leaving;
    self.stateSince = now;
    self.transmissions = 0;
    Decision decision;
    for (const auto &[id, member] : state.members) {
        if (id != state.self && member.news.state != MemberState::Gone) {
            decision.messages.push_back({member.news.address, makeMessage(state, std::monostate{})});
        }
    }
    return decision;
}

void applyInstanceList(State &state, const std::set<PeerAddress> &live)
{
    state.seeds.insert(live.begin(), live.end());
    for (auto &[id, member] : state.members) {
        if (member.news.state == MemberState::Gone && !live.contains(member.news.address)) {
            member.isReplaced = true;
        }
    }
}

void peerUnreachable(State &state, const PeerAddress &peer)
{
    const auto found = std::ranges::find_if(state.members, [&peer](const auto &item) {
        return item.second.news.address == peer && isPresent(item.second);
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

std::vector<Core::InstanceId> aliveMembers(const State &state)
{
    std::vector<Core::InstanceId> alive;
    for (const auto &[id, member] : state.members) {
        if (isPresent(member) && member.lastHeard) {
            alive.push_back(id);
        }
    }
    return alive;
}

const Member *find(const State &state, const Core::InstanceId &id)
{
    const auto found = state.members.find(id);
    return found == state.members.end() ? nullptr : &found->second;
}

bool hasHeardMajority(const State &state, Core::Duration window, Core::TimePoint now)
{
    const auto counts = [](const auto &item) {
        const auto &member = item.second;
        return member.lastHeard && !member.isReplaced && member.news.state != MemberState::Leaving;
    };
    const auto isRecent = [&](const auto &item) {
        return counts(item) && (item.first == state.self || now - *item.second.lastHeard <= window);
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
    // Silence during the pause was this process's own, so nobody is blamed for it.
    state.isConfirmed = false;
    state.unconfirmedSince = now;
    state.pendingPings.clear();
    state.nextProbe = now;
    state.nextSeedProbe = now;
    for (auto &[id, member] : state.members) {
        member.stateSince += pause;
    }
}

} // namespace Briarbend::Membership
