#pragma once

#include <LibCoordination/PeerLink.h>

#include <LibLimits/ColdGate.h>

#include <cstdint>

namespace Briarbend::Daemon
{

/// Carries what instances know of targets' warmth between the cold gate and gossip.
class WarmthSpread
{
public:
    WarmthSpread(Coordination::PeerLink &peers, Limits::ColdGate &gate);

    /// Publishes the statements that changed since the last call.
    void publishChanges();
    /// Publishes every statement again with the next call, before peers forget them.
    void publishAllAgain();
    /// Takes a peer's record over into the gate.
    void learn(const Gossip::WarmUpStateRecord &mark);

private:
    Coordination::PeerLink &peers;
    Limits::ColdGate &gate;
    std::uint64_t toldRevision{0};
};

} // namespace Briarbend::Daemon
