#pragma once

#include <LibRelay/RelayState.h>

namespace Briarbend::Relay
{

/// Accounts for one request at one target: what was sent, how it ended, and that it no longer occupies the target, even if the coroutine
/// that runs it ends early.
class AttemptRecord
{
public:
    AttemptRecord(RelayState &relay, ServiceState &service, const Core::TargetId &target, Core::TimePoint now);
    AttemptRecord(const AttemptRecord &) = delete;
    AttemptRecord &operator=(const AttemptRecord &) = delete;
    ~AttemptRecord();

    /// Records the head of a response, or with OutcomeKind::Failure that none arrived. Only the first call counts.
    void answered(const Routing::Outcome &outcome, Core::TimePoint now);
    /// Records that the connection to the target could not be opened or was lost.
    void connectionLost(Core::TimePoint now);

private:
    RelayState &relay;
    ServiceState &service;
    Routing::SentRequest sent;
    bool wasWithinSlots{false};
    bool isAnswered{false};
};

} // namespace Briarbend::Relay
