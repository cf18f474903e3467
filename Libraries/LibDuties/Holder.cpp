#include <LibDuties/Holder.h>

#include <algorithm>

namespace Briarbend::Duties
{

namespace
{

using namespace std::chrono_literals;

/// Pause after a failed call, doubled with each further one. Keeps an instance to five calls per second at most.
constexpr std::chrono::milliseconds FIRST_PAUSE = 200ms;
constexpr std::chrono::milliseconds LONGEST_PAUSE = 2s;
constexpr std::uint32_t MAXIMUM_DOUBLINGS = 4;
/// Fraction of the lease for which a holder must be silent before a candidate reads the record.
constexpr int SILENCE_DIVISOR = 3;
/// Fraction of the lease for which a holder relies on the record being its own.
constexpr int CONFIRMATION_DIVISOR = 2;
/// Fraction of the lease by which each further candidate waits longer, so that usually one of them writes.
constexpr int STAGGER_DIVISOR = 4;
constexpr std::uint64_t MAXIMUM_TOKEN_STEP = 1U << 20U;
/// Failed calls in a row after which a holder that has not recorded any window counts as behind.
constexpr std::uint32_t MAXIMUM_FAILURES_BEFORE_FIRST_WINDOW = 2;

void recordFailure(HolderState &state, Core::TimePoint now)
{
    const auto pause = FIRST_PAUSE * (1 << std::min(state.failuresInRow, MAXIMUM_DOUBLINGS));
    ++state.failuresInRow;
    state.notBefore = now + std::min<std::chrono::milliseconds>(pause, LONGEST_PAUSE);
}

void observe(HolderState &state, const ReadResult &shown, Core::TimePoint now)
{
    state.observed = shown;
    state.observedSince = now;
    if (const auto *stored = std::get_if<StoredRecord>(&shown)) {
        if (stored->record.token > state.greatestToken) {
            // Another holder has followed the one that yielded.
            state.hasHolderYielded = false;
        }
        state.greatestToken = std::max(state.greatestToken, stored->record.token);
    }
}

/// Returns to observing the record that another instance has written.
void lose(HolderState &state, const ReadResult &shown, Core::TimePoint now)
{
    if (state.phase == Phase::Holding) {
        state.lostAt = now;
    }
    state.phase = state.lostAt ? Phase::Lost : Phase::Candidate;
    state.pending.reset();
    state.isDelivered = true;
    observe(state, shown, now);
}

/// Whether the record is an earlier one than the instance's own: the store was restored from a copy that lacks it.
bool isEarlier(const DutyRecord &shown, const DutyRecord &own)
{
    const bool isSameHolder = shown.token == own.token && shown.holder == own.holder && shown.process == own.process;
    return shown.token < own.token || (isSameHolder && shown.window < own.window);
}

void completeWrite(HolderState &state, RecordVersion version, Core::TimePoint began, Core::TimePoint now)
{
    const auto record = std::move(state.pending->record);
    state.pending.reset();
    state.isDelivered = record.window == NO_WINDOW;
    state.phase = state.phase == Phase::Acquiring ? Phase::Holding : state.phase;
    state.confirmedAt = began;
    state.failuresInRow = 0;
    observe(state, StoredRecord{.record = record, .version = version}, now);
}

/// Compares a write whose result is not known with what the store holds: it was carried out, is repeated, or another one was first.
void settle(HolderState &state, const ReadResult &shown, Core::TimePoint began, Core::TimePoint now)
{
    auto &pending = *state.pending;
    const auto *stored = std::get_if<StoredRecord>(&shown);
    if (stored != nullptr && stored->record == pending.record) {
        completeWrite(state, stored->version, began, now);
        return;
    }
    const bool isUnchanged = stored == nullptr || pending.expected == stored->version;
    if (isUnchanged || (state.phase == Phase::Holding && isEarlier(stored->record, pending.record))) {
        pending.expected = stored == nullptr ? std::nullopt : std::optional(stored->version);
        pending.isUncertain = false;
    } else {
        lose(state, shown, now);
    }
}

Core::Duration requiredQuiet(const HolderState &state, const Situation &situation, const StoredRecord *stored)
{
    const auto &parameters = state.parameters;
    const auto stagger = parameters.lease / STAGGER_DIVISOR * situation.rank.value_or(0);
    const bool isOther = stored != nullptr && stored->record.process != parameters.process;
    // The other holder may have acted up to half a lease after it wrote the record.
    const auto quiet = (state.lostAt ? 2 : 1) * parameters.lease;
    if (isOther && situation.isHolderAlive && !state.hasHolderYielded) {
        // Only its messages to this instance are lost. It writes the record once in each window.
        return std::max(parameters.window + parameters.lease, quiet) + stagger;
    }
    return quiet + stagger;
}

bool mayTakeOver(const HolderState &state, const Situation &situation, const StoredRecord *stored)
{
    const auto &parameters = state.parameters;
    const bool isRestart
        = stored != nullptr && stored->record.holder == parameters.name && stored->record.process != parameters.process && !state.lostAt;
    if (isRestart) {
        // The record shows that no other instance has acted since.
        return true;
    }
    const auto since = std::max({state.observedSince, state.heardAt, state.lostAt.value_or(Core::TimePoint::min())});
    return situation.now - since >= requiredQuiet(state, situation, stored);
}

Action writePending(const HolderState &state)
{
    return WriteRecord{.expected = state.pending->expected, .record = state.pending->record};
}

Action nextOfCandidate(HolderState &state, const Situation &situation)
{
    if (!situation.rank || !situation.isWanted) {
        return Wait{};
    }
    if (!state.observed) {
        const bool isSilent = situation.now - state.heardAt >= state.parameters.lease / SILENCE_DIVISOR;
        return isSilent || state.hasHolderYielded ? Action{ReadRecord{}} : Wait{};
    }
    const auto *stored = observedRecord(state);
    if (!mayTakeOver(state, situation, stored)) {
        return Wait{};
    }
    // The report of the predecessor may not have been delivered, so that its window and counts stay.
    auto record = stored == nullptr ? DutyRecord{} : stored->record;
    record.token = std::max(record.token, state.greatestToken) + state.tokenStep;
    record.holder = state.parameters.name;
    record.process = state.parameters.process;
    state.pending = PendingWrite{.expected = stored == nullptr ? std::nullopt : std::optional(stored->version), .record = record};
    state.phase = Phase::Acquiring;
    return writePending(state);
}

void skipWindows(HolderState &state, WindowIndex first, WindowIndex end)
{
    if (first < end) {
        state.skipped += static_cast<std::uint64_t>(end - first);
        state.lastSkipped = end - 1;
    }
}

Action nextOfHolder(HolderState &state, const Situation &situation, const CountTable &table)
{
    const auto &stored = *observedRecord(state);
    const auto &record = stored.record;
    if (!state.isDelivered && record.window < situation.oldestReportable) {
        skipWindows(state, record.window, record.window + 1);
        state.isDelivered = true;
    }
    if (!state.isDelivered) {
        const bool isConfirmed = state.confirmedAt && situation.now - *state.confirmedAt <= state.parameters.lease / CONFIRMATION_DIVISOR;
        return isConfirmed ? Action{SendReport{.token = record.token, .window = record.window, .counts = record.counts}} : ReadRecord{};
    }
    const auto next = std::max({record.window + 1, situation.oldestReportable, situation.completeFrom});
    if (next > situation.latestClosed) {
        return Wait{};
    }
    if (record.window != NO_WINDOW) {
        skipWindows(state, record.window + 1, next);
    }
    auto following = record;
    following.window = next;
    following.counts = totalOf(table, next);
    state.pending = PendingWrite{.expected = stored.version, .record = std::move(following)};
    return writePending(state);
}

void checkHolding(HolderState &state, const ReadResult &shown, Core::TimePoint began, Core::TimePoint now)
{
    const auto own = observedRecord(state)->record;
    const auto *stored = std::get_if<StoredRecord>(&shown);
    if (stored != nullptr && stored->record == own) {
        observe(state, shown, now);
        state.confirmedAt = began;
    } else if (stored == nullptr || isEarlier(stored->record, own)) {
        state.pending = PendingWrite{.expected = stored == nullptr ? std::nullopt : std::optional(stored->version), .record = own};
    } else {
        lose(state, shown, now);
    }
}

} // namespace

HolderState makeHolder(HolderParameters parameters, Core::TimePoint now)
{
    HolderState state;
    state.parameters = std::move(parameters);
    // A holder that is alive is heard before this instance reads the record.
    state.heardAt = now;
    return state;
}

Action nextAction(HolderState &state, const Situation &situation, const CountTable &table)
{
    if (situation.now < state.notBefore) {
        return Wait{};
    }
    if (state.pending) {
        return state.pending->isUncertain ? Action{ReadRecord{}} : writePending(state);
    }
    return state.phase == Phase::Holding ? nextOfHolder(state, situation, table) : nextOfCandidate(state, situation);
}

void applyRead(HolderState &state, const ReadResult &result, Core::TimePoint began, Core::TimePoint now)
{
    if (std::holds_alternative<NoResponse>(result)) {
        recordFailure(state, now);
    } else if (state.pending) {
        settle(state, result, began, now);
    } else if (state.phase == Phase::Holding) {
        checkHolding(state, result, began, now);
    } else {
        state.failuresInRow = 0;
        observe(state, result, now);
    }
}

void applyWrite(HolderState &state, const WriteResult &result, Core::TimePoint began, Core::TimePoint now)
{
    if (!state.pending) {
        return;
    }
    if (const auto *written = std::get_if<RecordWritten>(&result)) {
        completeWrite(state, written->version, began, now);
        return;
    }
    const auto *conflict = std::get_if<RecordConflict>(&result);
    if (conflict != nullptr && conflict->current) {
        settle(state, *conflict->current, began, now);
    } else {
        state.pending->isUncertain = true;
    }
    if (state.pending) {
        recordFailure(state, now);
    }
}

void applyCall(HolderState &state, const CallResult &result, Core::TimePoint now)
{
    if (state.phase != Phase::Holding) {
        return;
    }
    if (std::holds_alternative<CallAccepted>(result)) {
        state.isDelivered = true;
        state.failuresInRow = 0;
        state.tokenStep = 1;
    } else if (std::holds_alternative<TokenRefused>(result)) {
        state.greatestToken = std::max(state.greatestToken, ownToken(state));
        state.tokenStep = std::min(state.tokenStep * 2, MAXIMUM_TOKEN_STEP);
        resign(state, now);
    } else {
        recordFailure(state, now);
        const auto *deferred = std::get_if<CallDeferred>(&result);
        if (deferred != nullptr && deferred->retryAfter) {
            const auto pause = std::min<Core::Duration>(*deferred->retryAfter, state.parameters.window);
            state.notBefore = std::max(state.notBefore, now + pause);
        }
    }
}

void applyHeardHolder(HolderState &state, std::uint64_t token, bool isActing, Core::TimePoint now)
{
    if (token < state.greatestToken) {
        return;
    }
    state.greatestToken = token;
    if (state.phase == Phase::Holding) {
        if (token > ownToken(state)) {
            requireConfirmation(state);
        }
        return;
    }
    state.hasHolderYielded = !isActing;
    if (isActing) {
        state.heardAt = now;
        state.observed.reset();
    }
}

void requireConfirmation(HolderState &state)
{
    state.confirmedAt.reset();
}

void resign(HolderState &state, Core::TimePoint now)
{
    if (state.phase != Phase::Holding && state.phase != Phase::Acquiring) {
        return;
    }
    state.phase = Phase::Lost;
    state.lostAt = now;
    state.isDelivered = true;
    state.observed.reset();
}

bool isHolding(const HolderState &state)
{
    return state.phase == Phase::Holding;
}

bool isBehind(const HolderState &state, WindowIndex latestClosed)
{
    const auto *stored = observedRecord(state);
    if (!isHolding(state) || stored == nullptr) {
        return false;
    }
    if (stored->record.window == NO_WINDOW) {
        // No window shows progress yet. Single failures are no reason to give up the duty.
        return state.failuresInRow > MAXIMUM_FAILURES_BEFORE_FIRST_WINDOW;
    }
    const auto delivered = state.isDelivered ? stored->record.window : stored->record.window - 1;
    return delivered < latestClosed - 1;
}

std::uint64_t ownToken(const HolderState &state)
{
    const auto *stored = observedRecord(state);
    return isHolding(state) && stored != nullptr ? stored->record.token : 0;
}

const StoredRecord *observedRecord(const HolderState &state)
{
    return state.observed ? std::get_if<StoredRecord>(&*state.observed) : nullptr;
}

} // namespace Briarbend::Duties
