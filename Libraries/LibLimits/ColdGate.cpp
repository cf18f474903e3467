#include <LibLimits/ColdGate.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>

namespace Briarbend::Limits
{

namespace
{

/// Replaced starts that are remembered for each target.
constexpr std::size_t REPLACED_STARTS = 8;
/// Weight of a new sample in the usual time of a target.
constexpr double USUAL_TIME_WEIGHT = 0.05;

bool holdsPlace(const MembershipView &view, const Core::TargetId &id, std::uint32_t places)
{
    const auto own = Core::rendezvousWeight(view.self.value, id.value);
    const auto comesBefore = [&](const Core::InstanceId &member) {
        const auto weight = Core::rendezvousWeight(member.value, id.value);
        return weight > own || (weight == own && member < view.self);
    };
    return std::ranges::count_if(view.members, comesBefore) < static_cast<std::ptrdiff_t>(places);
}

void updatePlace(const MembershipView &view, const Core::TargetId &id, ColdTarget &target, Core::TimePoint now)
{
    if (!holdsPlace(view, id, target.coldRequests)) {
        target.placeSince.reset();
    } else if (!target.placeSince) {
        target.placeSince = now;
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

void turnCold(ColdTarget &target, std::uint32_t episode, bool isSuspected)
{
    target.warmth = Warmth::Cold;
    target.episode = episode;
    target.isSuspected = isSuspected;
    target.completed = 0;
    target.slowInRow = 0;
}

void turnWarm(ColdTarget &target)
{
    target.warmth = Warmth::Warm;
    target.isSuspected = false;
    target.slowInRow = 0;
}

bool mayBeSuspected(const ColdGate &gate)
{
    const auto suspected = std::ranges::count_if(gate.targets, [](const auto &entry) {
        return entry.second.isSuspected;
    });
    return static_cast<double>(suspected + 1) <= gate.parameters.suspectedShare * static_cast<double>(gate.targets.size());
}

/// Merges a statement about the start that the target is known to run.
void mergeStatement(const ColdGate &gate, ColdTarget &target, const WarmthStatement &statement)
{
    const bool isNewer = target.warmth == Warmth::Unknown || statement.episode > target.episode;
    if (isNewer && !statement.isWarm && statement.isSuspected && !mayBeSuspected(gate)) {
        return;
    }
    if (isNewer) {
        turnCold(target, statement.episode, statement.isSuspected);
    }
    if (statement.isWarm && statement.episode == target.episode) {
        turnWarm(target);
    }
}

void mergeHeard(std::optional<WarmthStatement> &heard, const WarmthStatement &statement)
{
    const bool isOther = !heard || heard->start != statement.start;
    const bool isNewer = !isOther && statement.episode > heard->episode;
    const bool isWarmer = !isOther && statement.episode == heard->episode && statement.isWarm;
    if (isOther || isNewer || isWarmer) {
        heard = statement;
    }
}

void replaceStart(ColdTarget &target, const Core::TargetStartId &start)
{
    const bool isFirst = !target.start;
    if (!isFirst) {
        target.replacedStarts.push_back(*target.start);
        if (target.replacedStarts.size() > REPLACED_STARTS) {
            target.replacedStarts.erase(target.replacedStarts.begin());
        }
        turnCold(target, 0, false);
        target.usualTime = 0;
    }
    target.start = start;
}

/// What peers said of a start before a report showed it here.
void adoptHeard(const ColdGate &gate, ColdTarget &target)
{
    if (target.heard && target.heard->start == target.start) {
        mergeStatement(gate, target, *target.heard);
        target.heard.reset();
    }
}

/// A slow answer of a target that had little to do.
bool isSuspicious(const ColdGate &gate, ColdTarget &target, std::chrono::microseconds elapsed, bool hadFewInFlight)
{
    const auto time = static_cast<double>(elapsed.count());
    if (!hadFewInFlight) {
        return false;
    }
    if (target.usualTime > 0 && time > gate.parameters.slowFactor * target.usualTime) {
        ++target.slowInRow;
        return target.slowInRow >= gate.parameters.slowAnswersToSuspect;
    }
    target.slowInRow = 0;
    target.usualTime += target.usualTime > 0 ? USUAL_TIME_WEIGHT * (time - target.usualTime) : time;
    return false;
}

/// What peers are told of a target.
std::optional<WarmthStatement> statementOf(const Core::TargetId &id, const ColdTarget &target)
{
    if (target.warmth == Warmth::Unknown) {
        // An instance without a report of its own still passes on what it heard.
        return target.heard;
    }
    if (!target.start) {
        return std::nullopt;
    }
    return WarmthStatement{.target = id,
                           .start = *target.start,
                           .episode = target.episode,
                           .isWarm = target.warmth == Warmth::Warm,
                           .isSuspected = target.isSuspected};
}

void noteChange(ColdGate &gate, const Core::TargetId &id, ColdTarget &target)
{
    auto statement = statementOf(id, target);
    if (statement != target.told) {
        target.told = std::move(statement);
        target.toldSince = ++gate.revision;
    }
}

/// Counts a successful request towards warmth.
void addCompleted(ColdTarget &target)
{
    ++target.completed;
    if (target.start && target.completed >= target.warmAfterRequests) {
        turnWarm(target);
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

void updateColdTargets(ColdGate &gate, const std::vector<ColdTargetLimits> &targets, Core::TimePoint now)
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
        updatePlace(gate.view, limits.target, target, now);
    }
    gate.targets = std::move(kept);
    gate.hasFirstTargets = true;
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
    for (auto &[id, target] : gate.targets) {
        updatePlace(gate.view, id, target, now);
    }
}

ColdVerdict coldVerdict(const ColdGate &gate, const Core::TargetId &id, Core::TimePoint now)
{
    const auto found = gate.targets.find(id);
    if (found == gate.targets.end()) {
        return ColdVerdict::Refuse;
    }
    const auto &target = found->second;
    if (!gate.lastUpdate || now - *gate.lastUpdate > gate.parameters.longestPause) {
        return ColdVerdict::Refuse;
    }
    if (target.warmth == Warmth::Warm && target.isConfirmed) {
        return ColdVerdict::Warm;
    }
    if (target.inFlight > 0 || !target.placeSince || !gate.majoritySince) {
        return ColdVerdict::Refuse;
    }
    const auto heldSince = std::max(*target.placeSince, *gate.majoritySince);
    return now - heldSince >= settlingTime(gate.parameters) ? ColdVerdict::MayTry : ColdVerdict::Refuse;
}

void recordColdSent(ColdGate &gate, const Core::TargetId &id)
{
    if (auto *target = findColdTarget(gate, id)) {
        ++target->inFlight;
    }
}

void recordColdFinished(ColdGate &gate, const Core::TargetId &id)
{
    auto *target = findColdTarget(gate, id);
    if (target && target->inFlight > 0) {
        --target->inFlight;
    }
}

void recordCompleted(ColdGate &gate, const Core::TargetId &id, std::chrono::microseconds elapsed, bool hadFewInFlight)
{
    auto *target = findColdTarget(gate, id);
    if (!target) {
        return;
    }
    if (target->warmth != Warmth::Warm) {
        addCompleted(*target);
    } else if (isSuspicious(gate, *target, elapsed, hadFewInFlight) && mayBeSuspected(gate)) {
        turnCold(*target, target->episode + 1, true);
    }
    noteChange(gate, id, *target);
}

void recordReport(ColdGate &gate, const Core::TargetId &id, const std::optional<Core::TargetStartId> &start, bool isCold)
{
    auto *target = findColdTarget(gate, id);
    if (!target || !start || std::ranges::find(target->replacedStarts, *start) != target->replacedStarts.end()) {
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
    adoptHeard(gate, *target);
    if (isCold && target->warmth != Warmth::Cold) {
        turnCold(*target, target->episode + (target->warmth == Warmth::Warm ? 1 : 0), false);
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

void learnWarmth(ColdGate &gate, const WarmthStatement &statement)
{
    auto *target = findColdTarget(gate, statement.target);
    if (!target || std::ranges::find(target->replacedStarts, statement.start) != target->replacedStarts.end()) {
        return;
    }
    if (target->start == statement.start) {
        mergeStatement(gate, *target, statement);
    } else {
        // Start identifiers have no order, so only the target's own report can tell whether this one is newer.
        mergeHeard(target->heard, statement);
        target->isConfirmed = false;
    }
    noteChange(gate, statement.target, *target);
}

WarmthNews warmthNewsSince(const ColdGate &gate, std::uint64_t revision)
{
    WarmthNews news{.statements = {}, .revision = gate.revision};
    for (const auto &[id, target] : gate.targets) {
        if (target.told && target.toldSince > revision) {
            news.statements.push_back(*target.told);
        }
    }
    return news;
}

} // namespace Briarbend::Limits
