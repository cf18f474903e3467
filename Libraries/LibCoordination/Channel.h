#pragma once

/// How instances talk to each other.
namespace Briarbend::Coordination
{

/// What a message between instances belongs to; the first byte of each message.
enum class Channel : char {
    Gossip = 'g',
    /// Operations on claims and their results.
    Claims = 'c',
    /// The platform's instance list, for an instance that starts while the store is down.
    InstanceList = 'i',
    /// Evidence about new versions and the status of moves.
    Rollout = 'r',
    /// Evidence about requests that break targets, and trials of such requests.
    Quarantine = 'q',
    /// What instances that watch the platform's store tell the others.
    News = 'n',
    /// What targets say and show to one instance that concerns all.
    Targets = 't',
};

} // namespace Briarbend::Coordination
