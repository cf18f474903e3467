#pragma once

#include <LibRelay/RelayState.h>

namespace Briarbend::Relay
{

/// Keeps the books of one request at one target: what was sent, what came back, and that it no longer occupies the target, also when the
/// coroutine that runs it ends early.
class AttemptRecord
{
public:
    AttemptRecord(RelayState &relay, ServiceState &service, const Core::TargetId &target, Core::TimePoint now);
    AttemptRecord(const AttemptRecord &) = delete;
    AttemptRecord &operator=(const AttemptRecord &) = delete;
    ~AttemptRecord();

    /// Notes the head of an answer, or with OutcomeKind::Failure that none came. Only the first call counts.
    void answered(const Routing::Outcome &outcome, Core::TimePoint now);
    /// Notes that the connection to the target could not be opened or broke.
    void connectionLost(Core::TimePoint now);

private:
    RelayState &relay;
    ServiceState &service;
    Routing::SentRequest sent;
    bool wasWithinSlots{false};
    bool isAnswered{false};
};

} // namespace Briarbend::Relay
