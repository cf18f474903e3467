#include <LibOperations/SectionEditor.h>

#include <LibConfiguration/SectionReader.h>
#include <LibConfiguration/StoredSection.h>
#include <LibDocument/DocumentProblem.h>
#include <LibOperations/StoredSections.h>

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iomanip>
#include <random>
#include <ranges>
#include <sstream>

namespace Briarbend::Operations
{

namespace
{

namespace Asio = boost::asio;
using Configuration::StoredSection;

/// A section's object as read for an edit. Version zero stands for none.
struct CurrentSection {
    Store::Version version{0};
    StoredSection stored;
};

Asio::awaitable<void> pauseFor(Core::Duration duration)
{
    Asio::steady_timer timer(co_await Asio::this_coro::executor, duration);
    co_await timer.async_wait(Asio::use_awaitable);
}

/// Nothing where the store could not be read.
Asio::awaitable<std::optional<CurrentSection>> readCurrent(Store::ObjectStore &store, std::string key)
{
    const auto result = co_await store.read(key);
    if (std::holds_alternative<Store::Unavailable>(result)) {
        co_return std::nullopt;
    }
    CurrentSection current;
    if (const auto *object = std::get_if<Store::Object>(&result)) {
        // A broken object counts as an empty section, so that an edit of its version can mend it.
        current.version = object->version;
        current.stored = readSectionObject(key, *object).stored;
    }
    co_return current;
}

EditConflict conflictWith(const CurrentSection &current, bool mayHaveBeenInForce)
{
    return {.currentVersion = current.version, .currentText = current.stored.text, .mayHaveBeenInForce = mayHaveBeenInForce};
}

Store::Condition conditionOn(Store::Version base)
{
    if (base == 0) {
        return Store::IfAbsent{};
    }
    return Store::IfVersion{base};
}

/// One conditional update and what is needed to follow it up.
struct PendingWrite {
    std::string key;
    StoredSection stored;
    Store::Version base{0};
};

/// Settles by reading what a write that was refused or lost has come to; nothing while it can not be told or may be tried again.
std::optional<EditResult> settle(const PendingWrite &write, const CurrentSection &current, bool wasLost)
{
    if (current.version != 0 && current.stored.edit == write.stored.edit) {
        return EditAccepted{.version = current.version};
    }
    // A lower version is a stale read: the base was seen already.
    if (current.version > write.base) {
        return conflictWith(current, wasLost);
    }
    return std::nullopt;
}

/// Writes until it is known whether the edit was accepted: the condition makes trying again harmless.
Asio::awaitable<EditResult> writeConditionally(Store::ObjectStore &store, PendingWrite write, RetryPolicy policy)
{
    const auto value = Configuration::formatStoredSection(write.stored);
    if (value.size() > Store::MAXIMUM_VALUE_BYTES) {
        const auto limit = "at most " + std::to_string(Store::MAXIMUM_VALUE_BYTES) + " bytes, which is what the store takes";
        throw Document::DocumentError({{write.key, 0, "", "a section of " + std::to_string(value.size()) + " bytes", limit}});
    }
    const auto condition = conditionOn(write.base);
    bool wasLost = false;
    std::string reason;
    for (unsigned attempt = 0; attempt < policy.maximumAttempts; ++attempt) {
        const auto result = co_await store.write(write.key, value, condition);
        if (const auto *written = std::get_if<Store::Written>(&result)) {
            co_return EditAccepted{.version = written->version};
        }
        if (const auto *unavailable = std::get_if<Store::Unavailable>(&result)) {
            reason = unavailable->reason;
            if (!wasLost) {
                co_return StoreUnavailable{reason};
            }
        }
        if (const auto *unknown = std::get_if<Store::Unknown>(&result)) {
            reason = unknown->reason;
            wasLost = true;
        }
        const auto current = co_await readCurrent(store, write.key);
        const auto *conflict = std::get_if<Store::Conflict>(&result);
        const auto settled = current ? settle(write, *current, wasLost) : std::nullopt;
        if (settled) {
            co_return *settled;
        }
        if (conflict != nullptr && !wasLost) {
            co_return EditConflict{.currentVersion = conflict->currentVersion, .currentText = {}};
        }
        co_await pauseFor(policy.pause);
    }
    co_return EditUnknown{.edit = write.stored.edit, .reason = reason};
}

/// The version that the edit may replace; nothing where the current one is not it.
std::optional<Store::Version> allowedBase(const EditBase &base, Store::Version current)
{
    const auto *version = std::get_if<OnlyVersion>(&base);
    const bool isAllowed = std::holds_alternative<AnyVersion>(base) || (version == nullptr ? current == 0 : version->version == current);
    return isAllowed ? std::optional(current) : std::nullopt;
}

std::optional<Configuration::DataCentreState> stateOf(const Configuration::Section &section, const Core::DataCentreName &name)
{
    const auto found = std::ranges::find(section.dataCentres, name, &Configuration::DataCentre::name);
    return found == section.dataCentres.end() ? std::nullopt : std::optional(found->state);
}

/// Nothing where the platform's list or another team's section has the data centre, otherwise why it can not be edited.
Asio::awaitable<std::optional<EditResult>> refuseUnknownDataCentre(Store::ObjectStore &store, Core::DataCentreName name)
{
    const auto result = co_await store.instances();
    if (const auto *unavailable = std::get_if<Store::Unavailable>(&result)) {
        co_return StoreUnavailable{unavailable->reason};
    }
    const auto &instances = std::get<std::vector<Store::ListedInstance>>(result);
    if (std::ranges::find(instances, name, &Store::ListedInstance::dataCentre) != instances.end()) {
        co_return std::nullopt;
    }
    co_return NothingToEdit{"no data centre is named " + name.value + ", neither in the section nor in the platform's list of instances"};
}

} // namespace

Asio::awaitable<EditResult> applySection(Store::ObjectStore &store, SectionEdit edit, RetryPolicy policy)
{
    const auto key = Configuration::sectionKey(edit.team);
    const auto section = Configuration::parseSection(edit.team, edit.text, 0, key);
    const auto sections = co_await readStoredSections(store);
    if (const auto *unavailable = std::get_if<Store::Unavailable>(&sections)) {
        co_return StoreUnavailable{unavailable->reason};
    }
    const auto current = co_await readCurrent(store, key);
    if (!current) {
        co_return StoreUnavailable{"the section could not be read"};
    }
    if (current->version != 0 && current->stored.text == edit.text) {
        co_return EditAccepted{.version = current->version, .isChanged = false};
    }
    const auto base = allowedBase(edit.base, current->version);
    if (!base) {
        co_return conflictWith(*current, false);
    }
    auto clashes = Configuration::findClashes(section, acceptedSections(std::get<std::vector<SectionObject>>(sections)));
    if (!clashes.empty()) {
        co_return EditClashes{std::move(clashes)};
    }
    PendingWrite write{.key = key, .stored = {.edit = std::move(edit.edit), .text = std::move(edit.text)}, .base = *base};
    co_return co_await writeConditionally(store, std::move(write), policy);
}

Asio::awaitable<EditResult> changeDataCentreState(Store::ObjectStore &store, DataCentreEdit edit, RetryPolicy policy)
{
    const auto key = Configuration::sectionKey(edit.team);
    std::optional<std::optional<Configuration::DataCentreState>> original;
    EditResult result = StoreUnavailable{"the section could not be read"};
    for (unsigned attempt = 0; attempt < policy.maximumAttempts; ++attempt) {
        const auto current = co_await readCurrent(store, key);
        if (!current) {
            co_return result;
        }
        if (current->version == 0) {
            co_return NothingToEdit{"team " + edit.team.value + " has no section in the store"};
        }
        const auto section = Configuration::parseSection(edit.team, current->stored.text, current->version, key);
        const auto state = stateOf(section, edit.dataCentre);
        if (state == edit.state) {
            co_return EditAccepted{.version = current->version, .isChanged = false};
        }
        if (original && *original != state) {
            co_return conflictWith(*current, false);
        }
        original = state;
        if (!state) {
            const auto refusal = co_await refuseUnknownDataCentre(store, edit.dataCentre);
            if (refusal) {
                co_return *refusal;
            }
        }
        auto text = Configuration::withDataCentreState(current->stored.text, edit.team, edit.dataCentre, edit.state);
        PendingWrite write{.key = key, .stored = {.edit = edit.edit, .text = std::move(text)}, .base = current->version};
        result = co_await writeConditionally(store, std::move(write), policy);
        if (!std::holds_alternative<EditConflict>(result)) {
            co_return result;
        }
    }
    co_return result;
}

std::string makeEditIdentifier()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << std::setfill('0');
    for (unsigned word = 0; word < 4; ++word) {
        text << std::setw(8) << device();
    }
    return text.str();
}

} // namespace Briarbend::Operations
