#include <LibRelay/AttemptRecord.h>

namespace Briarbend::Relay
{

AttemptRecord::AttemptRecord(RelayState &relayState, ServiceState &serviceState, const Core::TargetId &target, Core::TimePoint now)
    : relay(relayState)
    , service(serviceState)
    , sent(Routing::recordSent(serviceState.table, target, now))
{
    Limits::recordRequestSent(this->relay.coldGate, target);
    const auto *state = Routing::findTarget(this->service.table, target);
    this->wasWithinSlots
        = state != nullptr && Routing::estimatedInFlight(this->service.table, *state, now) <= this->service.service.limits.slots;
}

AttemptRecord::~AttemptRecord()
{
    if (!this->isAnswered) {
        this->answered({.kind = Routing::OutcomeKind::Cancelled, .report = {}}, Core::Clock::now());
    }
    Routing::recordFinished(this->service.table, this->sent);
    Limits::recordRequestFinished(this->relay.coldGate, this->sent.target);
}

void AttemptRecord::answered(const Routing::Outcome &outcome, Core::TimePoint now)
{
    if (this->isAnswered) {
        return;
    }
    this->isAnswered = true;
    Routing::recordAnswer(this->service.table, this->sent, outcome, now);
    if (outcome.report) {
        Limits::recordReport(this->relay.coldGate, this->sent.target, outcome.report->start, outcome.report->isCold);
        if (outcome.report->start && this->relay.guard != nullptr) {
            this->relay.guard->recordTargetStart(this->sent.target, *outcome.report->start);
        }
    }
    if (outcome.kind == Routing::OutcomeKind::Success) {
        const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - this->sent.sentAt);
        Limits::recordSuccessfulAnswer(this->relay.coldGate, this->sent.target, elapsed, this->wasWithinSlots);
    }
}

void AttemptRecord::connectionLost(Core::TimePoint now)
{
    this->answered({.kind = Routing::OutcomeKind::Failure, .report = {}}, now);
    Limits::recordConnectionLost(this->relay.coldGate, this->sent.target);
    // The target may have restarted: connections to its previous process would fail the next requests.
    this->relay.pool.closeIdle(this->sent.target);
}

} // namespace Briarbend::Relay
