#pragma once

/// Communication between instances.
namespace Briarbend::Coordination
{

/// Identifies the receiver of a message between instances. Sent as the first byte of each message.
enum class Channel : char {
    Gossip = 'g',
    /// Operations on claims and their results.
    Claims = 'c',
    /// The platform's instance list, for an instance that starts while the store is unavailable.
    InstanceList = 'i',
    /// Evidence about new versions and the status of rollouts.
    Rollout = 'r',
    /// Evidence about requests that crash targets, and trials of such requests.
    Quarantine = 'q',
    /// Changes in the platform's store, sent by the instances that watch it to the others.
    News = 'n',
    /// What one instance learns from targets that concerns all instances.
    Targets = 't',
    /// Offers to take requests of instances that reach no target.
    Forwarding = 'f',
    /// Demand of tenants and their fractions of services that are short of capacity.
    TenantShares = 's',
    /// Counts of the requests of tenants, and who reports them.
    Usage = 'u',
};

} // namespace Briarbend::Coordination
