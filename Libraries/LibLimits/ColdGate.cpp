#include <LibLimits/ColdGate.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>

namespace Briarbend::Limits
{

namespace
{

bool holdsPlace(const MembershipView &view, const Core::TargetId &id, std::uint32_t places)
{
    const auto own = Core::rendezvousWeight(view.self.value, id.value);
    const auto comesBefore = [&](const Core::InstanceId &member) {
        const auto weight = Core::rendezvousWeight(member.value, id.value);
        return weight > own || (weight == own && member < view.self);
    };
    return std::ranges::count_if(view.members, comesBefore) < static_cast<std::ptrdiff_t>(places);
}

void updatePlace(const MembershipView &view, const Core::TargetId &id, ColdTarget &target, Core::TimePoint since)
{
    if (view.self.value.empty() || !holdsPlace(view, id, target.coldRequests)) {
        target.placeSince.reset();
    } else if (!target.placeSince) {
        target.placeSince = since;
    }
}

bool hearsMajority(const ColdGate &gate, Core::TimePoint now)
{
    const auto isHeard = [&](const PeerContact &contact) {
        return now - contact.lastExchange <= gate.parameters.hearingWindow;
    };
    const auto heard = static_cast<std::size_t>(std::ranges::count_if(gate.view.contacts, isHeard)) + 1;
    return 2 * heard > std::max(gate.view.expected, gate.view.members.size());
}

/// True where every instance of the fleet is in contact and said that it was not informed after the last of them came into contact:
/// whoever was informed by an instance that has ended since would have said so.
bool isNewFleet(const ColdGate &gate)
{
    const auto &contacts = gate.view.contacts;
    const bool isComplete = contacts.size() + 1 >= std::max(gate.view.expected, gate.view.members.size());
    return isComplete && std::ranges::all_of(contacts, [&](const PeerContact &contact) {
               return !contact.isInformed && contact.lastExchange > gate.sameContactsSince;
           });
}

/// Follows whether this instance may act on what it knows.
void updateStanding(ColdGate &gate, bool wasPaused, Core::TimePoint now)
{
    if (!hearsMajority(gate, now)) {
        gate.majoritySince.reset();
    } else if (wasPaused || !gate.majoritySince) {
        gate.majoritySince = now;
    }
    gate.isInformed = gate.isInformed || isNewFleet(gate) || std::ranges::any_of(gate.view.contacts, &PeerContact::isInformed);
}

bool mayBeSuspected(const ColdGate &gate)
{
    const auto suspected = std::ranges::count_if(gate.targets, [](const auto &entry) {
        return entry.second.isSuspected;
    });
    return static_cast<double>(suspected + 1) <= gate.parameters.suspectedShare * static_cast<double>(gate.targets.size());
}

bool isSuspicious(const ColdGate &gate, ColdTarget &target, std::chrono::microseconds elapsed, bool hadFewInFlight)
{
    const auto &parameters = gate.parameters;
    return hadFewInFlight && isSuddenlySlow(target, elapsed, parameters.slowFactor, parameters.slowAnswersToSuspect)
        && mayBeSuspected(gate);
}

void noteChange(ColdGate &gate, const Core::TargetId &id, ColdTarget &target)
{
    auto statement = statementOf(id, target);
    if (statement != target.told) {
        target.told = std::move(statement);
        target.toldSince = ++gate.revision;
    }
}

ColdTarget *findColdTarget(ColdGate &gate, const Core::TargetId &id)
{
    const auto found = gate.targets.find(id);
    return found == gate.targets.end() ? nullptr : &found->second;
}

} // namespace

Core::Duration settlingTime(const ColdGateParameters &parameters)
{
    return 2 * parameters.hearingWindow + parameters.longestRequest + 2 * parameters.longestPause;
}

void updateTargetList(ColdGate &gate, const std::vector<WarmupLimits> &targets)
{
    std::unordered_map<Core::TargetId, ColdTarget> kept;
    for (const auto &limits : targets) {
        auto known = gate.targets.extract(limits.target);
        auto &target = kept[limits.target];
        if (!known.empty()) {
            target = std::move(known.mapped());
        } else if (gate.hasFirstTargets) {
            turnCold(target, 0, false);
        }
        target.coldRequests = limits.coldRequests;
        target.warmAfterRequests = limits.warmAfterRequests;
        // With the same members this instance would have held the place of a new target as long.
        updatePlace(gate.view, limits.target, target, gate.sameMembersSince);
    }
    gate.targets = std::move(kept);
    gate.hasFirstTargets = gate.hasFirstTargets || !targets.empty();
}

void updateMembership(ColdGate &gate, MembershipView view, Core::TimePoint now)
{
    const bool wasPaused = gate.lastUpdate && now - *gate.lastUpdate > gate.parameters.longestPause;
    gate.lastUpdate = now;
    std::ranges::sort(view.members);
    std::ranges::sort(view.contacts, {}, &PeerContact::peer);
    if (!std::ranges::equal(view.contacts, gate.view.contacts, {}, &PeerContact::peer, &PeerContact::peer)) {
        gate.sameContactsSince = now;
    }
    const bool isSameView = view.self == gate.view.self && view.members == gate.view.members;
    gate.view = std::move(view);

    if (wasPaused) {
        // Targets may have restarted meanwhile.
        std::ranges::for_each(gate.targets, [](auto &entry) {
            entry.second.isConfirmed = false;
        });
    }
    updateStanding(gate, wasPaused, now);
    if (isSameView) {
        return;
    }
    gate.sameMembersSince = now;
    for (auto &[id, target] : gate.targets) {
        updatePlace(gate.view, id, target, now);
    }
}

SendPermission sendPermission(const ColdGate &gate, const Core::TargetId &id, Core::TimePoint now)
{
    const auto found = gate.targets.find(id);
    if (found == gate.targets.end()) {
        return SendPermission::Refuse;
    }
    const auto &target = found->second;
    if (!gate.lastUpdate || now - *gate.lastUpdate > gate.parameters.longestPause) {
        return SendPermission::Refuse;
    }
    if (target.warmth == Warmth::Warm && target.isConfirmed) {
        return SendPermission::Warm;
    }
    if (target.inFlight > 0 || !target.placeSince || !gate.majoritySince) {
        return SendPermission::Refuse;
    }
    const auto heldSince = std::max(*target.placeSince, *gate.majoritySince);
    return now - heldSince >= settlingTime(gate.parameters) ? SendPermission::TrialAllowed : SendPermission::Refuse;
}

void recordRequestSent(ColdGate &gate, const Core::TargetId &id)
{
    if (auto *target = findColdTarget(gate, id)) {
        ++target->inFlight;
    }
}

void recordRequestFinished(ColdGate &gate, const Core::TargetId &id)
{
    auto *target = findColdTarget(gate, id);
    if (target && target->inFlight > 0) {
        --target->inFlight;
    }
}

void recordSuccessfulAnswer(ColdGate &gate, const Core::TargetId &id, std::chrono::microseconds elapsed, bool hadFewInFlight)
{
    auto *target = findColdTarget(gate, id);
    if (!target) {
        return;
    }
    if (target->warmth != Warmth::Warm) {
        addCompleted(*target);
    } else if (isSuspicious(gate, *target, elapsed, hadFewInFlight)) {
        turnCold(*target, target->epoch + 1, true);
    }
    noteChange(gate, id, *target);
}

void recordReport(ColdGate &gate, const Core::TargetId &id, const std::optional<Core::TargetStartId> &start, bool isCold)
{
    auto *target = findColdTarget(gate, id);
    if (!target || !start || isReplaced(*target, *start)) {
        return;
    }
    const bool isNewToPeers = target->warmth == Warmth::Unknown && target->heard && target->heard->start != *start;
    if (isNewToPeers) {
        turnCold(*target, 0, false);
    }
    if (target->start != start) {
        replaceStart(*target, *start);
    }
    target->isConfirmed = true;
    adoptHeard(*target, mayBeSuspected(gate));
    if (isCold && target->warmth != Warmth::Cold) {
        turnCold(*target, target->epoch + (target->warmth == Warmth::Warm ? 1 : 0), false);
    }
    // The fleet knows no start of this target, so it is as new as all targets are to a new fleet: its report is all there is.
    if (!isCold && target->warmth == Warmth::Unknown && gate.isInformed) {
        turnWarm(*target);
    }
    noteChange(gate, id, *target);
}

void recordConnectionLost(ColdGate &gate, const Core::TargetId &id)
{
    if (auto *target = findColdTarget(gate, id)) {
        target->isConfirmed = false;
    }
}

void applyWarmthUpdate(ColdGate &gate, const WarmthUpdate &statement)
{
    auto *target = findColdTarget(gate, statement.target);
    if (!target || isReplaced(*target, statement.start)) {
        return;
    }
    if (target->start == statement.start) {
        mergeStatement(*target, statement, mayBeSuspected(gate));
    } else {
        // Start identifiers have no order, so only the target's own report can tell whether this one is newer.
        keepHeard(*target, statement);
        target->isConfirmed = false;
    }
    noteChange(gate, statement.target, *target);
}

WarmthDelta warmthDeltaSince(const ColdGate &gate, std::uint64_t revision)
{
    WarmthDelta news{.updates = {}, .revision = gate.revision};
    for (const auto &[id, target] : gate.targets) {
        if (target.told && target.toldSince > revision) {
            news.updates.push_back(*target.told);
        }
    }
    return news;
}

} // namespace Briarbend::Limits
