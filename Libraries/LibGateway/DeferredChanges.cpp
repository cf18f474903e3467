#include <LibGateway/DeferredChanges.h>

#include <algorithm>

namespace Briarbend::Gateway
{

bool takesBackKnown(const Content *known, const Change &change)
{
    if (change.isRemoved || known == nullptr) {
        return change.isRemoved == (known != nullptr);
    }
    const auto *knownTarget = std::get_if<Fleet::TargetRecord>(known);
    const auto *target = std::get_if<Fleet::TargetRecord>(&change.object.content);
    if (knownTarget != nullptr && target != nullptr) {
        return knownTarget->startedAtMilliseconds != target->startedAtMilliseconds;
    }
    const auto *knownOrder = std::get_if<RolloutOrder>(known);
    const auto *order = std::get_if<RolloutOrder>(&change.object.content);
    return knownOrder != nullptr && order != nullptr && knownOrder->version != order->version;
}

void deferChange(DeferredChanges &deferred, ObjectKind kind, const Change &change, Core::TimePoint now)
{
    const auto until = now + (kind == ObjectKind::Targets ? TARGET_REWRITE_PERIOD : REWRITE_PERIOD);
    deferred.insert_or_assign({kind, change.object.name}, DeferredChange{.change = change, .until = until});
}

void dropDeferred(DeferredChanges &deferred, ObjectKind kind, const std::string &name)
{
    deferred.erase({kind, name});
}

std::vector<std::pair<ObjectKind, Change>> takeDue(DeferredChanges &deferred, Core::TimePoint now)
{
    std::vector<std::pair<ObjectKind, Change>> due;
    std::erase_if(deferred, [&due, now](const auto &entry) {
        const bool isDue = entry.second.until <= now;
        if (isDue) {
            due.emplace_back(entry.first.first, entry.second.change);
        }
        return isDue;
    });
    return due;
}

bool hasDeferred(const DeferredChanges &deferred, ObjectKind kind)
{
    return std::ranges::any_of(deferred, [kind](const auto &entry) {
        return entry.first.first == kind;
    });
}

} // namespace Briarbend::Gateway
