#include <LibGateway/Instance.h>

#include <algorithm>
#include <nlohmann/json.hpp>

/// What the store's objects change in an instance.
namespace Briarbend::Gateway
{

namespace
{

using Log::Importance;

std::string_view nameOf(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Plan:
        return "plan";
    case ObjectKind::Targets:
        return "target";
    case ObjectKind::Rollouts:
        return "rollout";
    case ObjectKind::DataCentresOut:
        return "data_centre_out";
    }
    return "";
}

} // namespace

void Instance::takeChanges(ObjectKind kind, Revision previous, const Changes &changes)
{
    if (previous > 0) {
        this->news->publish(kind, previous, changes);
    } else {
        // What came before the first listing is not known one by one: whoever is behind it may lack something.
        this->news->noteChange(kind, changes.revision);
    }
    if (kind == ObjectKind::Targets) {
        const auto removals = std::ranges::count_if(changes.changes, &Change::isRemoved);
        Fleet::expectRemovals(this->state.directory, static_cast<std::size_t>(removals), this->timers.now());
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
    case ObjectKind::Plan:
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
    Fleet::applyRecord(this->state.directory, record, this->timers.now());
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

void Instance::take(const Fleet::FleetPlan &plan, const StoredObject &object)
{
    if (this->state.plan && plan.version <= this->state.plan->version) {
        return;
    }
    this->state.plan = std::make_shared<const Fleet::FleetPlan>(plan);
    this->state.log.write(Importance::Notable,
                          "configuration_in_force",
                          {{"version", plan.version}, {"routes", plan.routes.size()}, {"revision", object.revision}});
}

} // namespace Briarbend::Gateway
