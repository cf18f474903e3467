#include "Commands.h"
#include "TextTable.h"

#include <LibConfiguration/SectionReader.h>
#include <LibDocument/ValueType.h>
#include <LibOperations/InstanceReport.h>
#include <LibOperations/StoredSections.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <ostream>
#include <ranges>

namespace Briarbend::Briarctl
{

namespace
{

namespace Asio = boost::asio;
using Json = nlohmann::json;
using Operations::InstanceReport;
using Operations::SectionObject;
using Operations::SectionVersion;

constexpr std::chrono::seconds WATCH_INTERVAL{2};
constexpr std::string_view CLEAR_SCREEN{"\x1b[H\x1b[2J"};
constexpr std::string_view ROLLOUT_KEY_PREFIX{"rollouts/"};

/// The store's part of the status.
struct StoredStatus {
    std::vector<SectionObject> sections;
    /// The status objects of rollouts by service, as JSON.
    Json rollouts = Json::object();
};

using StatusResult = std::variant<StoredStatus, Store::Unavailable>;

Asio::awaitable<StatusResult> readStatus(Store::ObjectStore &store)
{
    StoredStatus status;
    auto sections = co_await Operations::readStoredSections(store);
    if (const auto *unavailable = std::get_if<Store::Unavailable>(&sections)) {
        co_return *unavailable;
    }
    status.sections = std::get<std::vector<SectionObject>>(std::move(sections));
    const std::string prefix(ROLLOUT_KEY_PREFIX);
    const auto listed = co_await store.list(prefix);
    if (const auto *unavailable = std::get_if<Store::Unavailable>(&listed)) {
        co_return *unavailable;
    }
    for (const auto &entry : std::get<Store::Listing>(listed).objects) {
        const auto result = co_await store.read(entry.key);
        if (const auto *object = std::get_if<Store::Object>(&result)) {
            const auto parsed = Json::parse(object->value, nullptr, false);
            status.rollouts[entry.key.substr(prefix.size())] = parsed.is_discarded() ? Json(object->value) : parsed;
        }
    }
    co_return status;
}

std::vector<SectionVersion> versionsOf(const std::vector<SectionObject> &sections)
{
    std::vector<SectionVersion> versions;
    std::ranges::transform(sections, std::back_inserter(versions), [](const SectionObject &section) {
        return SectionVersion{section.team, section.version};
    });
    return versions;
}

std::string versionsText(const InstanceReport &report, const std::vector<SectionVersion> &expected)
{
    std::string text;
    for (const auto &section : expected) {
        const auto version = report.versionOf(section.team);
        text += (text.empty() ? "" : ", ") + section.team.value + " " + (version == 0 ? "none" : std::to_string(version));
        text += version < section.version ? " (behind " + std::to_string(section.version) + ")" : "";
    }
    return text;
}

void printInstances(std::ostream &output, const std::vector<InstanceReport> &reports, const std::vector<SectionVersion> &expected)
{
    std::vector<TextRow> rows{{" ", "ADDRESS", "INSTANCE", "DATA CENTRE", "READY", "IN FORCE"}};
    for (const auto &report : reports) {
        const std::string mark = Operations::isOutOfStep(report, expected) ? "!" : " ";
        const auto address = report.operatorAddress.text();
        if (!report.hasAnswered()) {
            rows.push_back({mark, address, "-", "-", "-", "no answer: " + report.failure});
            continue;
        }
        rows.push_back({mark, address, report.instance, report.dataCentre, report.isReady ? "yes" : "no", versionsText(report, expected)});
    }
    output << "instances\n";
    printTable(output, rows);
}

/// A status object's top-level values in one line.
std::string summary(const Json &object)
{
    if (!object.is_object()) {
        return object.is_string() ? object.get<std::string>() : object.dump();
    }
    std::string text;
    for (const auto &[key, value] : object.items()) {
        if (value.is_primitive()) {
            text += (text.empty() ? "" : ", ") + key + " " + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

void printStatus(std::ostream &output, const StoredStatus &status)
{
    const auto sections = Operations::acceptedSections(status.sections);
    std::vector<TextRow> dataCentres{{"NAME", "STATE", "TEAM"}};
    std::vector<TextRow> rollouts{{"SERVICE", "FROM", "TO", "START", "FINISH BY", "STATUS"}};
    std::vector<TextRow> versions{{"TEAM", "VERSION"}};
    for (const auto &[team, section] : sections) {
        versions.push_back({team.value, std::to_string(section.storeVersion)});
        for (const auto &dataCentre : section.dataCentres) {
            const bool isOut = dataCentre.state == Configuration::DataCentreState::Out;
            dataCentres.push_back({dataCentre.name.value, isOut ? "out" : "in", team.value});
        }
        for (const auto &rollout : section.rollouts) {
            const auto &service = rollout.service.value;
            const auto found = status.rollouts.find(service);
            const auto state = found == status.rollouts.end() ? "no status in the store" : summary(*found);
            rollouts.push_back({service,
                                rollout.from.value,
                                rollout.to.value,
                                Document::formatTime(rollout.start),
                                Document::formatTime(rollout.finishBy),
                                state});
        }
    }
    output << "data centres\n";
    printTable(output, dataCentres);
    output << "rollouts\n";
    printTable(output, rollouts);
    output << "sections\n";
    printTable(output, versions);
}

Json versionsJson(const std::vector<SectionVersion> &versions)
{
    Json json = Json::object();
    for (const auto &section : versions) {
        json[section.team.value] = section.version;
    }
    return json;
}

/// The instances as JSON, whole dumps included.
Json instancesJson(const std::vector<InstanceReport> &reports, const std::vector<SectionVersion> &expected)
{
    Json instances = Json::array();
    Json outOfStep = Json::array();
    for (const auto &report : reports) {
        const auto address = report.operatorAddress.text();
        instances.push_back({{"address", address}, report.hasAnswered() ? Json{"dump", report.document} : Json{"failure", report.failure}});
        if (Operations::isOutOfStep(report, expected)) {
            outOfStep.push_back(address);
        }
    }
    return {{"expected", versionsJson(expected)}, {"instances", instances}, {"out_of_step", outOfStep}};
}

Json statusJson(const StoredStatus &status, const std::vector<InstanceReport> &reports)
{
    auto json = instancesJson(reports, versionsOf(status.sections));
    json["rollouts"] = status.rollouts;
    json["data_centres"] = Json::array();
    for (const auto &[team, section] : Operations::acceptedSections(status.sections)) {
        for (const auto &dataCentre : section.dataCentres) {
            const bool isOut = dataCentre.state == Configuration::DataCentreState::Out;
            json["data_centres"].push_back({{"name", dataCentre.name.value}, {"state", isOut ? "out" : "in"}, {"team", team.value}});
        }
    }
    return json;
}

ExitCode codeFor(const std::vector<InstanceReport> &reports, const std::vector<SectionVersion> &expected)
{
    const bool isAnyOut = std::ranges::any_of(reports, [&expected](const InstanceReport &report) {
        return Operations::isOutOfStep(report, expected);
    });
    return isAnyOut ? ExitCode::OutOfStep : ExitCode::Done;
}

void printMerged(std::ostream &output, const std::vector<InstanceReport> &reports)
{
    output << "values\n";
    for (const auto &entry : Operations::mergeReports(reports)) {
        output << "  " << entry.path << " = " << entry.values.front().value << "\n";
        for (const auto &other : entry.values | std::views::drop(1)) {
            output << "    " << other.value << " on";
            std::ranges::for_each(other.instances, [&output](const std::string &instance) {
                output << " " << instance;
            });
            output << "\n";
        }
    }
}

Asio::awaitable<ExitCode> statusOnce(Session &session)
{
    const auto result = co_await readStatus(*session.store);
    if (const auto *unavailable = std::get_if<Store::Unavailable>(&result)) {
        co_return reportUnavailable(session, unavailable->reason);
    }
    const auto &stored = std::get<StoredStatus>(result);
    const auto reports = co_await Operations::fetchReports(session.arguments.instances, session.arguments.timeout);
    const auto expected = versionsOf(stored.sections);
    if (session.arguments.wantsJson) {
        session.output << statusJson(stored, reports).dump(2) << "\n";
        co_return codeFor(reports, expected);
    }
    printStatus(session.output, stored);
    if (!reports.empty()) {
        printInstances(session.output, reports, expected);
    }
    co_return codeFor(reports, expected);
}

} // namespace

Asio::awaitable<ExitCode> show(Session &session)
{
    const auto result = co_await Operations::readStoredSections(*session.store);
    if (const auto *unavailable = std::get_if<Store::Unavailable>(&result)) {
        co_return reportUnavailable(session, unavailable->reason);
    }
    auto sections = std::get<std::vector<SectionObject>>(result);
    if (session.arguments.team) {
        std::erase_if(sections, [&session](const SectionObject &section) {
            return section.team != *session.arguments.team;
        });
        if (sections.empty()) {
            session.problems << "team " << session.arguments.team->value << " has no section in the store\n";
            co_return ExitCode::NotFound;
        }
    }
    if (session.arguments.wantsJson) {
        Json json = Json::array();
        std::ranges::transform(sections, std::back_inserter(json), [](const SectionObject &section) {
            return Json{
                {"team", section.team.value}, {"version", section.version}, {"edit", section.stored.edit}, {"text", section.stored.text}};
        });
        session.output << Json{{"sections", json}}.dump(2) << "\n";
        co_return ExitCode::Done;
    }
    for (const auto &section : sections) {
        session.output << (&section == &sections.front() ? "" : "\n") << Operations::printSection(section);
    }
    co_return ExitCode::Done;
}

Asio::awaitable<ExitCode> status(Session &session)
{
    Asio::steady_timer timer(co_await Asio::this_coro::executor);
    auto code = co_await statusOnce(session);
    while (session.arguments.isWatching) {
        session.output.flush();
        timer.expires_after(WATCH_INTERVAL);
        co_await timer.async_wait(Asio::use_awaitable);
        session.output << (session.arguments.wantsJson ? "" : CLEAR_SCREEN);
        code = co_await statusOnce(session);
    }
    co_return code;
}

Asio::awaitable<ExitCode> dump(Session &session)
{
    const auto reports = co_await Operations::fetchReports(session.arguments.instances, session.arguments.timeout);
    const auto expected = Operations::newestVersions(reports);
    if (session.arguments.wantsJson) {
        session.output << instancesJson(reports, expected).dump(2) << "\n";
        co_return codeFor(reports, expected);
    }
    printInstances(session.output, reports, expected);
    printMerged(session.output, reports);
    co_return codeFor(reports, expected);
}

} // namespace Briarbend::Briarctl
