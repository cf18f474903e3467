#include <LibGateway/Instance.h>

#include <algorithm>
#include <nlohmann/json.hpp>

/// What the store's objects change in an instance.
namespace Briarbend::Gateway
{

namespace
{

using Log::Importance;

} // namespace

void Instance::takeChanges(ObjectKind kind, Revision previous, const Changes &changes)
{
    if (previous > 0) {
        this->news->publish(kind, previous, changes);
    } else {
        // What came before the first listing is not known one by one: whoever is behind it may lack something.
        this->news->recordLatestRevision(kind, changes.revision);
    }
    if (kind == ObjectKind::Targets) {
        const auto removals = std::ranges::count_if(changes.changes, &Change::isRemoved);
        Fleet::recordPendingRemovals(this->state.directory, static_cast<std::size_t>(removals), this->timers.now());
        this->state.directory.isKnown = true;
    }
    std::ranges::for_each(changes.changes, [this, kind](const Change &change) {
        if (change.isRemoved) {
            this->takeRemoval(kind, change.object);
        } else {
            std::visit(
                [this, &change](const auto &content) {
                    this->take(content, change.object);
                },
                change.object.content);
        }
    });
    refreshBooks(this->state, this->timers.now());
}

void Instance::takeRemoval(ObjectKind kind, const StoredObject &object)
{
    switch (kind) {
    case ObjectKind::RoutingConfiguration:
        // The configuration stays in force: nothing else says what callers may ask for.
        break;
    case ObjectKind::Targets:
        Fleet::applyRemoval(this->state.directory, object.name, this->timers.now());
        break;
    case ObjectKind::Rollouts:
        this->rollouts->forget(object.name);
        break;
    case ObjectKind::DataCentresOut:
        this->state.dataCentresOut.erase({object.name});
        break;
    }
    this->state.log.write(kind == ObjectKind::Targets ? Importance::Routine : Importance::Notable,
                          "removed",
                          {{"kind", nameOf(kind)}, {"object", object.name}, {"revision", object.revision}});
}

void Instance::take(const Unreadable &unreadable, const StoredObject &object)
{
    // The entry of another writer: what was known under the name no longer holds.
    Fleet::applyRemoval(this->state.directory, object.name, this->timers.now());
    this->state.log.write(Importance::Notable, "unreadable_object", {{"object", object.name}, {"reason", unreadable.reason}});
}

void Instance::take(const Fleet::TargetRecord &record, const StoredObject &object)
{
    Fleet::applyRecord(this->state.directory, record);
    this->state.log.write(Importance::Routine,
                          "target",
                          {{"target", record.name},
                           {"service", record.service.value},
                           {"version", record.version.value},
                           {"leaving", record.isLeaving},
                           {"cold_ms", record.coldLeft.count()},
                           {"revision", object.revision}});
}

void Instance::take(const RolloutOrder &order, const StoredObject &object)
{
    this->rollouts->take(order, object.revision);
}

void Instance::take(const Core::DataCentreName &dataCentre, const StoredObject &object)
{
    this->state.dataCentresOut.insert(dataCentre);
    this->state.log.write(Importance::Notable, "data_centre_out", {{"data_centre", dataCentre.value}, {"revision", object.revision}});
}

void Instance::take(const Fleet::RoutingConfiguration &plan, const StoredObject &object)
{
    if (this->state.plan && plan.version <= this->state.plan->version) {
        return;
    }
    this->state.plan = std::make_shared<const Fleet::RoutingConfiguration>(plan);
    this->planName = object.name;
    this->state.log.write(Importance::Notable,
                          "configuration_in_force",
                          {{"version", plan.version}, {"routes", plan.routes.size()}, {"revision", object.revision}});
}

bool Instance::lacks(ObjectKind kind) const
{
    const auto position = this->followerOf(kind).syncedRevision();
    return this->isStoreLost && (position == 0 || this->news->isBehind(kind, position));
}

std::vector<ObjectKind> Instance::lackingKinds() const
{
    std::vector<ObjectKind> kinds;
    std::ranges::copy_if(ALL_OBJECT_KINDS, std::back_inserter(kinds), [this](ObjectKind kind) {
        return this->lacks(kind);
    });
    return kinds;
}

std::optional<Listing> Instance::snapshotOf(ObjectKind kind) const
{
    const auto position = this->followerOf(kind).syncedRevision();
    const bool hasJustWoken = this->timers.now() - this->wokeAt < WAKE_PATIENCE;
    if (position == 0 || hasJustWoken) {
        return std::nullopt;
    }
    return Listing{.objects = this->objectsOf(kind), .revision = position};
}

std::vector<StoredObject> Instance::objectsOf(ObjectKind kind) const
{
    std::vector<StoredObject> objects;
    const auto add = [&objects, this, kind](const std::string &name, Content content) {
        objects.push_back({.name = name, .revision = this->followerOf(kind).revisionOf(name), .content = std::move(content)});
    };
    switch (kind) {
    case ObjectKind::RoutingConfiguration:
        if (this->state.plan) {
            add(this->planName, *this->state.plan);
        }
        break;
    case ObjectKind::Targets:
        for (const auto &[name, entry] : this->state.directory.entries) {
            if (!entry.missingSince) {
                add(name, entry.record);
            }
        }
        break;
    case ObjectKind::Rollouts:
        for (const auto &[service, order] : this->rollouts->orders()) {
            add(service, order);
        }
        break;
    case ObjectKind::DataCentresOut:
        for (const auto &dataCentre : this->state.dataCentresOut) {
            add(dataCentre.value, dataCentre);
        }
        break;
    }
    return objects;
}

void Instance::takeSnapshot(ObjectKind kind, const Listing &listing)
{
    if (!this->lacks(kind)) {
        return;
    }
    this->state.log.write(Importance::Notable,
                          "taken_from_peer",
                          {{"kind", nameOf(kind)}, {"objects", listing.objects.size()}, {"revision", listing.revision}});
    this->followerOf(kind).applySnapshot(listing);
}

} // namespace Briarbend::Gateway
