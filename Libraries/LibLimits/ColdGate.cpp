#include <LibLimits/ColdGate.h>

#include <LibLimits/SenderSelection.h>

#include <algorithm>

namespace Briarbend::Limits
{

namespace
{

void updateSender(const MembershipView &view, const Core::TargetId &id, TargetWarmth &target, Core::TimePoint since)
{
    if (view.self.value.empty() || !isSender(view.self, view.members, id, target.coldRequests)) {
        target.senderSince.reset();
    } else if (!target.senderSince) {
        target.senderSince = since;
    }
}

bool hasMajority(const ColdGate &gate, Core::TimePoint now)
{
    const auto isRecent = [&](const PeerContact &contact) {
        return now - contact.lastExchange <= gate.parameters.contactTimeout;
    };
    const auto heard = static_cast<std::size_t>(std::ranges::count_if(gate.view.contacts, isRecent)) + 1;
    return 2 * heard > std::max(gate.view.expected, gate.view.members.size());
}

/// True if every instance of the fleet is in contact and, after the last change of the set of contacts, has reported that it is not
/// informed. An instance that had been informed by a peer that has since ended would have reported itself as informed.
bool isNewFleet(const ColdGate &gate)
{
    const auto &contacts = gate.view.contacts;
    const bool isComplete = contacts.size() + 1 >= std::max(gate.view.expected, gate.view.members.size());
    return isComplete && std::ranges::all_of(contacts, [&](const PeerContact &contact) {
               return !contact.isInformed && contact.lastExchange > gate.contactsUnchangedSince;
           });
}

/// Updates whether this instance is in contact with a majority, and whether it is informed.
void updateReadiness(ColdGate &gate, bool wasPaused, Core::TimePoint now)
{
    if (!hasMajority(gate, now)) {
        gate.majoritySince.reset();
    } else if (wasPaused || !gate.majoritySince) {
        gate.majoritySince = now;
    }
    gate.isInformed = gate.isInformed || isNewFleet(gate) || std::ranges::any_of(gate.view.contacts, &PeerContact::isInformed);
}

bool maySuspectAnother(const ColdGate &gate)
{
    const auto suspected = std::ranges::count_if(gate.targets, [](const auto &entry) {
        return entry.second.isSuspected;
    });
    return static_cast<double>(suspected + 1) <= gate.parameters.maximumSuspectedShare * static_cast<double>(gate.targets.size());
}

bool shouldSuspect(const ColdGate &gate, TargetWarmth &target, std::chrono::microseconds elapsed, bool hadFewInFlight)
{
    const auto &parameters = gate.parameters;
    return hadFewInFlight && detectSlowStreak(target, elapsed, parameters.slowFactor, parameters.slowAnswersToSuspect)
        && maySuspectAnother(gate);
}

void updatePublished(ColdGate &gate, const Core::TargetId &id, TargetWarmth &target)
{
    auto update = warmthUpdateOf(id, target);
    if (update != target.published) {
        target.published = std::move(update);
        target.publishedRevision = ++gate.revision;
    }
}

TargetWarmth *findTarget(ColdGate &gate, const Core::TargetId &id)
{
    const auto found = gate.targets.find(id);
    return found == gate.targets.end() ? nullptr : &found->second;
}

} // namespace

Core::Duration settlingTime(const ColdGateParameters &parameters)
{
    return 2 * parameters.contactTimeout + parameters.maximumRequestDuration + 2 * parameters.maximumUnnoticedPause;
}

void updateTargetList(ColdGate &gate, const std::vector<WarmupLimits> &targets)
{
    std::unordered_map<Core::TargetId, TargetWarmth> kept;
    for (const auto &limits : targets) {
        auto known = gate.targets.extract(limits.target);
        auto &target = kept[limits.target];
        if (!known.empty()) {
            target = std::move(known.mapped());
        } else if (gate.hasInitialTargets) {
            turnCold(target, 0, false);
        }
        target.coldRequests = limits.coldRequests;
        target.warmAfterRequests = limits.warmAfterRequests;
        // Had the target been listed earlier, this instance would have been its sender for as long as the members are unchanged.
        updateSender(gate.view, limits.target, target, gate.membersUnchangedSince);
    }
    gate.targets = std::move(kept);
    gate.hasInitialTargets = gate.hasInitialTargets || !targets.empty();
}

void updateMembership(ColdGate &gate, MembershipView view, Core::TimePoint now)
{
    const bool wasPaused = gate.lastUpdate && now - *gate.lastUpdate > gate.parameters.maximumUnnoticedPause;
    gate.lastUpdate = now;
    std::ranges::sort(view.members);
    std::ranges::sort(view.contacts, {}, &PeerContact::peer);
    if (!std::ranges::equal(view.contacts, gate.view.contacts, {}, &PeerContact::peer, &PeerContact::peer)) {
        gate.contactsUnchangedSince = now;
    }
    const bool isSameView = view.self == gate.view.self && view.members == gate.view.members;
    gate.view = std::move(view);

    if (wasPaused) {
        // Targets may have restarted during the pause.
        std::ranges::for_each(gate.targets, [](auto &entry) {
            entry.second.isConfirmed = false;
        });
    }
    updateReadiness(gate, wasPaused, now);
    if (isSameView) {
        return;
    }
    gate.membersUnchangedSince = now;
    for (auto &[id, target] : gate.targets) {
        updateSender(gate.view, id, target, now);
    }
}

SendPermission sendPermission(const ColdGate &gate, const Core::TargetId &id, Core::TimePoint now)
{
    const auto found = gate.targets.find(id);
    if (found == gate.targets.end()) {
        return SendPermission::Refuse;
    }
    const auto &target = found->second;
    if (!gate.lastUpdate || now - *gate.lastUpdate > gate.parameters.maximumUnnoticedPause) {
        return SendPermission::Refuse;
    }
    if (target.warmth == Warmth::Warm && target.isConfirmed) {
        return SendPermission::Warm;
    }
    if (target.inFlight > 0 || !target.senderSince || !gate.majoritySince) {
        return SendPermission::Refuse;
    }
    const auto heldSince = std::max(*target.senderSince, *gate.majoritySince);
    return now - heldSince >= settlingTime(gate.parameters) ? SendPermission::TrialAllowed : SendPermission::Refuse;
}

void recordRequestSent(ColdGate &gate, const Core::TargetId &id)
{
    if (auto *target = findTarget(gate, id)) {
        ++target->inFlight;
    }
}

void recordRequestFinished(ColdGate &gate, const Core::TargetId &id)
{
    auto *target = findTarget(gate, id);
    if (target && target->inFlight > 0) {
        --target->inFlight;
    }
}

void recordSuccessfulAnswer(ColdGate &gate, const Core::TargetId &id, std::chrono::microseconds elapsed, bool hadFewInFlight)
{
    auto *target = findTarget(gate, id);
    if (!target) {
        return;
    }
    if (target->warmth != Warmth::Warm) {
        addCompleted(*target);
    } else if (shouldSuspect(gate, *target, elapsed, hadFewInFlight)) {
        turnCold(*target, target->epoch + 1, true);
    }
    updatePublished(gate, id, *target);
}

void recordReport(ColdGate &gate, const Core::TargetId &id, const std::optional<Core::TargetStartId> &start, bool isCold)
{
    auto *target = findTarget(gate, id);
    if (!target || !start || isReplaced(*target, *start)) {
        return;
    }
    const bool isUnknownToPeers = target->warmth == Warmth::Unknown && target->pendingUpdate && target->pendingUpdate->start != *start;
    if (isUnknownToPeers) {
        turnCold(*target, 0, false);
    }
    if (target->start != start) {
        replaceStart(*target, *start);
    }
    target->isConfirmed = true;
    mergePendingUpdate(*target, maySuspectAnother(gate));
    if (isCold && target->warmth != Warmth::Cold) {
        turnCold(*target, target->epoch + (target->warmth == Warmth::Warm ? 1 : 0), false);
    }
    // No peer knows a start of this target. As in a new fleet, its own report is the only evidence of its warmth.
    if (!isCold && target->warmth == Warmth::Unknown && gate.isInformed) {
        turnWarm(*target);
    }
    updatePublished(gate, id, *target);
}

void recordConnectionLost(ColdGate &gate, const Core::TargetId &id)
{
    if (auto *target = findTarget(gate, id)) {
        target->isConfirmed = false;
    }
}

void applyWarmthUpdate(ColdGate &gate, const WarmthUpdate &update)
{
    auto *target = findTarget(gate, update.target);
    if (!target || isReplaced(*target, update.start)) {
        return;
    }
    if (target->start == update.start) {
        mergeUpdate(*target, update, maySuspectAnother(gate));
    } else {
        // Start identifiers are not ordered, so only the target's own report can show whether this one is newer.
        storePendingUpdate(*target, update);
        target->isConfirmed = false;
    }
    updatePublished(gate, update.target, *target);
}

WarmthDelta warmthDeltaSince(const ColdGate &gate, std::uint64_t revision)
{
    WarmthDelta delta{.updates = {}, .revision = gate.revision};
    for (const auto &[id, target] : gate.targets) {
        if (target.published && target.publishedRevision > revision) {
            delta.updates.push_back(*target.published);
        }
    }
    return delta;
}

} // namespace Briarbend::Limits
