#include <LibGateway/Instance.h>
#include <LibGateway/TargetContact.h>

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
    if (batch.isRestored) {
        this->followRestoredStore(kind, batch);
    } else if (batch.previous.isKnown()) {
        // A peer may lack changes that were known here, so it gets all of them.
        this->news->publish(kind, batch.previous, batch.all);
    } else {
        // The individual changes before the first listing are unknown: a peer behind its revision may be missing some of them.
        this->news->recordLatestRevision(kind, batch.newer.revision);
    }
    const auto changes = this->applicableChanges(kind, batch);
    if (kind == ObjectKind::Targets) {
        const auto removals = std::ranges::count_if(changes, &Change::isRemoved);
        Fleet::recordPendingRemovals(this->state.directory, static_cast<std::size_t>(removals), this->timers.now());
        this->state.directory.isKnown = true;
    }
    std::ranges::for_each(changes, [this, kind, &batch](const Change &change) {
        this->applyChange(kind, batch, change);
    });
    updateServiceStates(this->state, this->timers.now());
}

void Instance::applyChange(ObjectKind kind, const ChangeBatch &batch, const Change &change)
{
    if (change.isRemoved) {
        this->applyRemoval(kind, batch, change.object);
        return;
    }
    std::visit(
        [this, &batch, &change](const auto &content) {
            this->applyContent(content, batch, change.object);
        },
        change.object.content);
}

void Instance::followRestoredStore(ObjectKind kind, const ChangeBatch &batch)
{
    const auto &revision = batch.newer.revision;
    this->state.log.write(Importance::Notable,
                          "store_restored",
                          {{"kind", nameOf(kind)},
                           {"era", revision.era},
                           {"revision", revision.number},
                           {"via", nameOf(batch.source)},
                           {"peer", batch.peer}});
    if (kind == ObjectKind::Targets) {
        Fleet::recordStoreRestored(this->state.directory, this->timers.now());
        this->quarantineKeeper->onStoreRestored();
    }
    if (batch.source != ChangeSource::Listing) {
        this->news->recordLatestRevision(kind, revision);
        return;
    }
    Listing listing{.objects = {}, .revision = revision, .firstPage = revision};
    std::ranges::transform(batch.all.changes, std::back_inserter(listing.objects), &Change::object);
    this->news->publishListing(kind, listing);
    if (this->news->isActiveWatcher()) {
        std::ranges::for_each(this->followers, [&revision](const auto &follower) {
            if (follower->syncedRevision().era < revision.era) {
                follower->requestRelist();
            }
        });
    }
}

std::vector<Change> Instance::applicableChanges(ObjectKind kind, const ChangeBatch &batch)
{
    const auto &changes = batch.newer.changes;
    const bool hasOutdated = std::ranges::any_of(changes, &Change::mayBeOutdated);
    if (!hasOutdated && this->deferredChanges.empty()) {
        return changes;
    }
    std::map<std::string, Content> known;
    // A configuration states its version, which tells whether it is outdated.
    if (hasOutdated && kind != ObjectKind::RoutingConfiguration) {
        for (auto &object : this->objectsOf(kind)) {
            known.emplace(object.name, std::move(object.content));
        }
    }
    std::vector<Change> applicable;
    for (const auto &change : changes) {
        const auto found = known.find(change.object.name);
        const bool mayTakeBack = change.mayBeOutdated && kind != ObjectKind::RoutingConfiguration;
        // Targets that the store has lost are kept for as long as it takes them to register again.
        const bool isLostTarget = kind == ObjectKind::Targets && change.isRemoved;
        if (mayTakeBack && !isLostTarget && takesBackKnown(found == known.end() ? nullptr : &found->second, change)) {
            deferChange(this->deferredChanges, kind, change, this->timers.now());
            this->state.log.write(Importance::Notable,
                                  "outdated_change_deferred",
                                  {{"kind", nameOf(kind)},
                                   {"object", change.object.name},
                                   {"removed", change.isRemoved},
                                   {"era", change.object.revision.era},
                                   {"revision", change.object.revision.number}});
        } else {
            dropDeferred(this->deferredChanges, kind, change.object.name);
            applicable.push_back(change);
        }
    }
    return applicable;
}

void Instance::applyDueChanges(Core::TimePoint now)
{
    const auto due = takeDue(this->deferredChanges, now);
    for (const auto &[kind, change] : due) {
        const ChangeBatch batch{.source = ChangeSource::Listing,
                                .previous = {},
                                .all = {},
                                .newer = {.changes = {change}, .revision = change.object.revision},
                                .isRestored = false,
                                .peer = {}};
        this->applyChange(kind, batch, change);
    }
    if (!due.empty()) {
        updateServiceStates(this->state, now);
    }
}

void Instance::applyRemoval(ObjectKind kind, const ChangeBatch &batch, const StoredObject &object)
{
    switch (kind) {
    case ObjectKind::RoutingConfiguration:
        // The configuration stays in force, since no other source defines the routes.
        break;
    case ObjectKind::Targets:
        if (const auto known = this->state.directory.entries.find(object.name); known != this->state.directory.entries.end()) {
            this->quarantine->recordRemoval(known->second.record.address);
        }
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
                          {{"kind", nameOf(kind)},
                           {"object", object.name},
                           {"era", object.revision.era},
                           {"revision", object.revision.number},
                           {"via", nameOf(batch.source)},
                           {"peer", batch.peer}});
}

void Instance::applyContent(const Unreadable &unreadable, const ChangeBatch &batch, const StoredObject &object)
{
    // The entry comes from another writer, so the record known under this name is no longer valid.
    Fleet::applyRemoval(this->state.directory, object.name, this->timers.now());
    this->state.log.write(Importance::Notable,
                          "unreadable_object",
                          {{"object", object.name}, {"reason", unreadable.reason}, {"via", nameOf(batch.source)}, {"peer", batch.peer}});
}

void Instance::applyContent(const Fleet::TargetRecord &record, const ChangeBatch &batch, const StoredObject &object)
{
    Fleet::applyRecord(this->state.directory, record);
    this->quarantine->recordListedStart(record.address, startIdOf(record));
    this->state.log.write(Importance::Routine,
                          "target",
                          {{"target", record.name},
                           {"service", record.service.value},
                           {"version", record.version.value},
                           {"leaving", record.isLeaving},
                           {"cold_ms", record.coldLeft.count()},
                           {"era", object.revision.era},
                           {"revision", object.revision.number},
                           {"via", nameOf(batch.source)},
                           {"peer", batch.peer}});
}

void Instance::applyContent(const RolloutOrder &order, const ChangeBatch & /*batch*/, const StoredObject &object)
{
    this->rollouts->applyOrder(order, object.revision);
}

void Instance::applyContent(const Core::DataCentreName &dataCentre, const ChangeBatch &batch, const StoredObject &object)
{
    this->state.dataCentresOut.insert(dataCentre);
    this->state.log.write(Importance::Notable,
                          "data_centre_out",
                          {{"data_centre", dataCentre.value},
                           {"era", object.revision.era},
                           {"revision", object.revision.number},
                           {"via", nameOf(batch.source)},
                           {"peer", batch.peer}});
}

void Instance::applyContent(const Fleet::RoutingConfiguration &configuration, const ChangeBatch &batch, const StoredObject &object)
{
    this->storedConfigurationVersion = configuration.version;
    this->bringIntoForce(configuration, batch, object);
}

void Instance::bringIntoForce(const Fleet::RoutingConfiguration &configuration, const ChangeBatch &batch, const StoredObject &object)
{
    if (this->state.routingConfiguration && !Fleet::supersedes(configuration, *this->state.routingConfiguration)) {
        return;
    }
    this->state.routingConfiguration = std::make_shared<const Fleet::RoutingConfiguration>(configuration);
    this->configurationName = object.name;
    this->state.log.write(Importance::Notable,
                          "configuration_in_force",
                          {{"version", configuration.version},
                           {"routes", configuration.routes.size()},
                           {"tenants", configuration.tenants ? configuration.tenants->tenants.size() : 0},
                           {"era", object.revision.era},
                           {"revision", object.revision.number},
                           {"via", nameOf(batch.source)},
                           {"peer", batch.peer}});
}

bool Instance::needsSnapshot(ObjectKind kind) const
{
    const auto position = this->followerOf(kind).syncedRevision();
    return this->isStoreUnavailable && (!position.isKnown() || this->news->isBehind(kind, position));
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
    if (!position.isKnown() || isAfterFreeze) {
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
                           {"era", listing.revision.era},
                           {"revision", listing.revision.number},
                           {"first_page", listing.firstPage.number},
                           {"known_era", this->followerOf(kind).syncedRevision().era},
                           {"known_revision", this->followerOf(kind).syncedRevision().number}});
}

void Instance::applySnapshot(const Snapshot &snapshot, const std::string &peer)
{
    const auto kind = snapshot.kind;
    const auto &listing = snapshot.listing;
    const auto position = this->followerOf(kind).syncedRevision();
    const bool isOfLaterEra = position.isKnown() && listing.revision.era > position.era;
    if (!this->needsSnapshot(kind) && !isOfLaterEra) {
        // What a restored store lists may be outdated, and facts of an earlier revision may have been taken back since.
        if (!snapshot.isAsListed && listing.revision >= position) {
            this->adoptLostFacts(kind, listing);
        }
        return;
    }
    this->state.log.write(Importance::Notable,
                          "taken_from_peer",
                          {{"kind", nameOf(kind)},
                           {"objects", listing.objects.size()},
                           {"era", listing.revision.era},
                           {"revision", listing.revision.number},
                           {"peer", peer}});
    this->followerOf(kind).applySnapshot(listing, peer);
}

std::vector<ObjectKind> Instance::kindsAheadOfStore() const
{
    std::vector<ObjectKind> kinds;
    std::ranges::copy_if(ALL_OBJECT_KINDS, std::back_inserter(kinds), [this](ObjectKind kind) {
        return hasDeferred(this->deferredChanges, kind)
            || (kind == ObjectKind::RoutingConfiguration && this->state.routingConfiguration
                && this->state.routingConfiguration->version > this->storedConfigurationVersion)
            || (kind == ObjectKind::Rollouts && this->rollouts->isAheadOfStore());
    });
    return kinds;
}

void Instance::adoptLostFacts(ObjectKind kind, const Listing &listing)
{
    const ChangeBatch batch{.source = ChangeSource::Snapshot, .previous = {}, .all = {}, .newer = {}, .isRestored = false, .peer = {}};
    for (const auto &object : listing.objects) {
        if (const auto *configuration = std::get_if<Fleet::RoutingConfiguration>(&object.content)) {
            this->bringIntoForce(*configuration, batch, object);
        } else if (const auto *order = std::get_if<RolloutOrder>(&object.content)) {
            this->rollouts->adoptProgress(*order);
        } else if (const auto *dataCentre = std::get_if<Core::DataCentreName>(&object.content);
                   dataCentre != nullptr && this->state.dataCentresOut.insert(*dataCentre).second) {
            // Until the operator writes it again, as at the instances that knew it before the store was restored.
            deferChange(this->deferredChanges, kind, {.object = object, .isRemoved = true}, this->timers.now());
        } else if (const auto *record = std::get_if<Fleet::TargetRecord>(&object.content); record != nullptr && record->isLeaving) {
            const auto known = this->state.directory.entries.find(record->name);
            if (known != this->state.directory.entries.end()
                && known->second.record.startedAtMilliseconds == record->startedAtMilliseconds) {
                Fleet::applyRecord(this->state.directory, *record);
            }
        }
    }
    updateServiceStates(this->state, this->timers.now());
}

} // namespace Briarbend::Gateway
