#include <LibGateway/Instance.h>

#include <algorithm>
#include <nlohmann/json.hpp>

/// Applies changes of objects in the store to the state of an instance.
namespace Briarbend::Gateway
{

namespace
{

using Log::Importance;

} // namespace

void Instance::applyChanges(ObjectKind kind, const ChangeBatch &batch)
{
    const auto &changes = batch.newer;
    if (batch.previous > 0) {
        // A peer may lack changes that were known here, so it gets all of them.
        this->news->publish(kind, batch.previous, batch.all);
    } else {
        // The individual changes before the first listing are unknown: a peer behind its revision may be missing some of them.
        this->news->recordLatestRevision(kind, changes.revision);
    }
    if (kind == ObjectKind::Targets) {
        const auto removals = std::ranges::count_if(changes.changes, &Change::isRemoved);
        Fleet::recordPendingRemovals(this->state.directory, static_cast<std::size_t>(removals), this->timers.now());
        this->state.directory.isKnown = true;
    }
    std::ranges::for_each(changes.changes, [this, kind, source = batch.source](const Change &change) {
        if (change.isRemoved) {
            this->applyRemoval(kind, source, change.object);
        } else {
            std::visit(
                [this, source, &change](const auto &content) {
                    this->applyContent(content, source, change.object);
                },
                change.object.content);
        }
    });
    updateServiceStates(this->state, this->timers.now());
}

void Instance::applyRemoval(ObjectKind kind, ChangeSource source, const StoredObject &object)
{
    switch (kind) {
    case ObjectKind::RoutingConfiguration:
        // The configuration stays in force, since no other source defines the routes.
        break;
    case ObjectKind::Targets:
        Fleet::applyRemoval(this->state.directory, object.name, this->timers.now());
        break;
    case ObjectKind::Rollouts:
        this->rollouts->removeOrder(object.name);
        break;
    case ObjectKind::DataCentresOut:
        this->state.dataCentresOut.erase({object.name});
        break;
    }
    this->state.log.write(kind == ObjectKind::Targets ? Importance::Routine : Importance::Notable,
                          "removed",
                          {{"kind", nameOf(kind)}, {"object", object.name}, {"revision", object.revision}, {"via", nameOf(source)}});
}

void Instance::applyContent(const Unreadable &unreadable, ChangeSource source, const StoredObject &object)
{
    // The entry comes from another writer, so the record known under this name is no longer valid.
    Fleet::applyRemoval(this->state.directory, object.name, this->timers.now());
    this->state.log.write(
        Importance::Notable, "unreadable_object", {{"object", object.name}, {"reason", unreadable.reason}, {"via", nameOf(source)}});
}

void Instance::applyContent(const Fleet::TargetRecord &record, ChangeSource source, const StoredObject &object)
{
    Fleet::applyRecord(this->state.directory, record);
    this->state.log.write(Importance::Routine,
                          "target",
                          {{"target", record.name},
                           {"service", record.service.value},
                           {"version", record.version.value},
                           {"leaving", record.isLeaving},
                           {"cold_ms", record.coldLeft.count()},
                           {"revision", object.revision},
                           {"via", nameOf(source)}});
}

void Instance::applyContent(const RolloutOrder &order, ChangeSource /*source*/, const StoredObject &object)
{
    this->rollouts->applyOrder(order, object.revision);
}

void Instance::applyContent(const Core::DataCentreName &dataCentre, ChangeSource source, const StoredObject &object)
{
    this->state.dataCentresOut.insert(dataCentre);
    this->state.log.write(Importance::Notable,
                          "data_centre_out",
                          {{"data_centre", dataCentre.value}, {"revision", object.revision}, {"via", nameOf(source)}});
}

void Instance::applyContent(const Fleet::RoutingConfiguration &configuration, ChangeSource source, const StoredObject &object)
{
    if (this->state.routingConfiguration && configuration.version <= this->state.routingConfiguration->version) {
        return;
    }
    this->state.routingConfiguration = std::make_shared<const Fleet::RoutingConfiguration>(configuration);
    this->configurationName = object.name;
    this->state.log.write(Importance::Notable,
                          "configuration_in_force",
                          {{"version", configuration.version},
                           {"routes", configuration.routes.size()},
                           {"revision", object.revision},
                           {"via", nameOf(source)}});
}

bool Instance::needsSnapshot(ObjectKind kind) const
{
    const auto position = this->followerOf(kind).syncedRevision();
    return this->isStoreUnavailable && (position == 0 || this->news->isBehind(kind, position));
}

std::vector<ObjectKind> Instance::kindsNeedingSnapshot() const
{
    std::vector<ObjectKind> kinds;
    std::ranges::copy_if(ALL_OBJECT_KINDS, std::back_inserter(kinds), [this](ObjectKind kind) {
        return this->needsSnapshot(kind);
    });
    return kinds;
}

std::optional<Listing> Instance::snapshotOf(ObjectKind kind) const
{
    const auto position = this->followerOf(kind).syncedRevision();
    const bool isAfterFreeze = this->timers.now() - this->lastFreezeEnd < POST_FREEZE_DELAY;
    if (position == 0 || isAfterFreeze) {
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
        if (this->state.routingConfiguration) {
            add(this->configurationName, *this->state.routingConfiguration);
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

void Instance::logListing(ObjectKind kind, const Listing &listing)
{
    this->state.log.write(Importance::Routine,
                          "listed",
                          {{"kind", nameOf(kind)},
                           {"objects", listing.objects.size()},
                           {"era", listing.era},
                           {"revision", listing.revision},
                           {"first_page", listing.firstPage},
                           {"known_revision", this->followerOf(kind).syncedRevision()}});
}

void Instance::applySnapshot(ObjectKind kind, const Listing &listing)
{
    if (!this->needsSnapshot(kind)) {
        return;
    }
    this->state.log.write(Importance::Notable,
                          "taken_from_peer",
                          {{"kind", nameOf(kind)}, {"objects", listing.objects.size()}, {"revision", listing.revision}});
    this->followerOf(kind).applySnapshot(listing);
}

} // namespace Briarbend::Gateway
