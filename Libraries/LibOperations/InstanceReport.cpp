#include <LibCore/BoundedJson.h>
#include <LibOperations/InstanceReport.h>

#include <LibNetwork/HttpClient.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>

namespace Briarbend::Operations
{

namespace
{

namespace Asio = boost::asio;

Asio::awaitable<InstanceReport> fetchReport(Network::Endpoint address, Core::Duration timeout)
{
    Network::HttpClient client(co_await Asio::this_coro::executor, address);
    InstanceReport report{.operatorAddress = address, .failure = {}, .instance = {}, .dataCentre = {}, .versions = {}, .document = {}};
    try {
        auto request = Network::makeRequest(Network::Http::verb::get, "/dump", address.text());
        const auto response = co_await client.exchange(std::move(request), timeout);
        if (response.result() != Network::Http::status::ok) {
            throw std::runtime_error("answered " + std::to_string(response.result_int()));
        }
        report = parseReport(address, response.body());
    } catch (const boost::system::system_error &error) {
        report.failure = error.code().message();
    } catch (const std::runtime_error &error) {
        report.failure = error.what();
    }
    co_return report;
}

/// The reports still awaited; the timer is cancelled with the last of them.
struct PendingReports {
    explicit PendingReports(const Asio::any_io_executor &executor, std::size_t count)
        : reports(count)
        , missing(count)
        , done(executor, Asio::steady_timer::time_point::max())
    {
    }

    std::vector<InstanceReport> reports;
    std::size_t missing;
    Asio::steady_timer done;
};

/// One dump as its leaves by path.
struct FlatDump {
    std::string instance;
    nlohmann::json leaves;
};

MergedEntry mergePath(const std::vector<FlatDump> &dumps, const std::string &path)
{
    MergedEntry entry{.path = path, .values = {}};
    for (const auto &dump : dumps) {
        const auto value = dump.leaves.contains(path) ? dump.leaves.at(path).dump() : std::string("-");
        const auto found = std::ranges::find(entry.values, value, &MergedValue::value);
        if (found == entry.values.end()) {
            entry.values.push_back({value, {dump.instance}});
        } else {
            found->instances.push_back(dump.instance);
        }
    }
    std::ranges::stable_sort(entry.values, std::ranges::greater{}, [](const MergedValue &value) {
        return value.instances.size();
    });
    return entry;
}

} // namespace

bool InstanceReport::hasAnswered() const
{
    return this->failure.empty();
}

Store::Version InstanceReport::versionOf(const Core::TeamName &team) const
{
    const auto found = std::ranges::find(this->versions, team, &SectionVersion::team);
    return found == this->versions.end() ? 0 : found->version;
}

Asio::awaitable<std::vector<InstanceReport>> fetchReports(std::vector<Network::Endpoint> operatorAddresses, Core::Duration timeout)
{
    const auto executor = co_await Asio::this_coro::executor;
    const auto pending = std::make_shared<PendingReports>(executor, operatorAddresses.size());
    for (std::size_t index = 0; index < operatorAddresses.size(); ++index) {
        const auto take = [pending, index](const std::exception_ptr &exception, InstanceReport report) {
            if (exception) {
                report.failure = "the answer could not be read";
            }
            pending->reports[index] = std::move(report);
            pending->missing -= 1;
            if (pending->missing == 0) {
                pending->done.cancel();
            }
        };
        Asio::co_spawn(executor, fetchReport(operatorAddresses[index], timeout), take);
    }
    while (pending->missing > 0) {
        boost::system::error_code ignored;
        co_await pending->done.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    co_return std::move(pending->reports);
}

InstanceReport parseReport(const Network::Endpoint &operatorAddress, const std::string &body)
{
    try {
        auto document = Core::parseJson(body);
        InstanceReport report{.operatorAddress = operatorAddress,
                              .failure = {},
                              .instance = document.at("instance").get<std::string>(),
                              .dataCentre = document.at("data_centre").get<std::string>(),
                              .isReady = document.at("ready").get<bool>(),
                              .versions = {},
                              .document = {}};
        for (const auto &[team, version] : document.at("configuration").items()) {
            report.versions.push_back({{team}, version.get<Store::Version>()});
        }
        report.document = std::move(document);
        return report;
    } catch (const nlohmann::json::exception &exception) {
        throw std::runtime_error(std::string("the dump can not be read: ") + exception.what());
    }
}

std::vector<SectionVersion> newestVersions(const std::vector<InstanceReport> &reports)
{
    std::map<Core::TeamName, Store::Version> newest;
    for (const auto &report : reports) {
        for (const auto &section : report.versions) {
            newest[section.team] = std::max(newest[section.team], section.version);
        }
    }
    std::vector<SectionVersion> versions;
    std::ranges::transform(newest, std::back_inserter(versions), [](const auto &entry) {
        return SectionVersion{entry.first, entry.second};
    });
    return versions;
}

bool isOutOfStep(const InstanceReport &report, const std::vector<SectionVersion> &expected)
{
    return !report.hasAnswered() || std::ranges::any_of(expected, [&report](const SectionVersion &section) {
        return report.versionOf(section.team) < section.version;
    });
}

std::vector<MergedEntry> mergeReports(const std::vector<InstanceReport> &reports)
{
    std::vector<FlatDump> dumps;
    std::set<std::string> paths;
    for (const auto &report : reports) {
        if (!report.hasAnswered()) {
            continue;
        }
        dumps.push_back({report.operatorAddress.text(), report.document.flatten()});
        for (const auto &[path, value] : dumps.back().leaves.items()) {
            paths.insert(path);
        }
    }
    std::vector<MergedEntry> merged;
    std::ranges::transform(paths, std::back_inserter(merged), [&dumps](const std::string &path) {
        return mergePath(dumps, path);
    });
    return merged;
}

} // namespace Briarbend::Operations
