#pragma once

#include <LibCore/Time.h>
#include <LibGateway/Reflector.h>

#include <map>
#include <utility>

/// What applies while a restored store shows an older state: facts that were known stay in force until they are written again.
namespace Briarbend::Gateway
{

/// Time for which a change that only a restored store suggests is deferred: those who wrote the lost state write it again.
constexpr std::chrono::seconds REWRITE_PERIOD{60};
/// The same for targets, which write again within a few heartbeats; entries of those that have left expire as soon.
constexpr std::chrono::seconds TARGET_REWRITE_PERIOD{10};

struct DeferredChange {
    Change change;
    Core::TimePoint until;
};

/// By kind and name of the object.
using DeferredChanges = std::map<std::pair<ObjectKind, std::string>, DeferredChange>;

/// Whether the change, which may be outdated, would take back what is known of the object: an object that was removed, an object that the
/// store has lost, another start of a target, an order for another version. `known` is null if the object is not in force.
bool takesBackKnown(const Content *known, const Change &change);

/// Defers a change, instead of one that was deferred for the same object.
void deferChange(DeferredChanges &deferred, ObjectKind kind, const Change &change, Core::TimePoint now);

/// Drops the deferred change of an object that was written again.
void dropDeferred(DeferredChanges &deferred, ObjectKind kind, const std::string &name);

/// Removes and returns the changes whose period has passed.
std::vector<std::pair<ObjectKind, Change>> takeDue(DeferredChanges &deferred, Core::TimePoint now);

bool hasDeferred(const DeferredChanges &deferred, ObjectKind kind);

} // namespace Briarbend::Gateway
