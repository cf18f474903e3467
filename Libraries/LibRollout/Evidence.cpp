#include <LibCore/BoundedJson.h>
#include <LibRollout/CodecError.h>
#include <LibRollout/Evidence.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Briarbend::Rollout
{

namespace
{

using Json = nlohmann::json;

template<typename Enumeration>
Enumeration enumerationFromJson(const Json &json, Enumeration last)
{
    const auto value = json.get<unsigned>();
    if (value > static_cast<unsigned>(last)) {
        throw CodecError{"rollout evidence has the unknown version role or load level " + std::to_string(value)};
    }
    return static_cast<Enumeration>(value);
}

/// Lists each route once; encoded counts refer to a route by its index in the list.
std::vector<std::string> routesOf(const MemberEvidence &evidence)
{
    std::vector<std::string> routes;
    routes.reserve(evidence.failures.size() + evidence.latencies.size());
    for (const auto &[key, counts] : evidence.failures) {
        routes.push_back(key.route);
    }
    for (const auto &[key, counts] : evidence.latencies) {
        routes.push_back(key.route);
    }
    for (const auto &[segment, counts] : evidence.responses) {
        routes.push_back(segment.route);
    }
    std::ranges::sort(routes);
    routes.erase(std::unique(routes.begin(), routes.end()), routes.end());
    return routes;
}

std::size_t routeIndex(const std::vector<std::string> &routes, const std::string &route)
{
    return static_cast<std::size_t>(std::ranges::lower_bound(routes, route) - routes.begin());
}

} // namespace

LoadLevel loadLevelOf(std::uint32_t requestsInFlight, std::uint32_t slots)
{
    constexpr std::uint32_t LEVELS = 3;
    if (requestsInFlight * LEVELS < slots) {
        return LoadLevel::Low;
    }
    return requestsInFlight * LEVELS < 2 * slots ? LoadLevel::Medium : LoadLevel::High;
}

void pruneBefore(MemberEvidence &evidence, IntervalIndex interval)
{
    evidence.failures.erase(evidence.failures.begin(), evidence.failures.lower_bound({.interval = interval, .route = {}}));
    evidence.latencies.erase(evidence.latencies.begin(), evidence.latencies.lower_bound({.interval = interval, .route = {}, .target = {}}));
}

void add(ResponseCounts &sum, const ResponseCounts &other)
{
    sum.oldSuccesses += other.oldSuccesses;
    sum.newSuccesses += other.newSuccesses;
    sum.oldFastSuccesses += other.oldFastSuccesses;
    sum.newFastSuccesses += other.newFastSuccesses;
    sum.requestsToOld += other.requestsToOld;
    sum.requestsToNew += other.requestsToNew;
}

void add(MemberEvidence &sum, const MemberEvidence &other)
{
    for (const auto &[key, counts] : other.failures) {
        auto &total = sum.failures[key];
        total.requests += counts.requests;
        total.failures += counts.failures;
    }
    for (const auto &[key, counts] : other.latencies) {
        auto &total = sum.latencies[key];
        total.requests += counts.requests;
        total.slow += counts.slow;
    }
    for (const auto &[segment, counts] : other.responses) {
        add(sum.responses[segment], counts);
    }
}

std::vector<std::uint8_t> encodeEvidence(const MemberEvidence &evidence)
{
    const auto routes = routesOf(evidence);
    Json failures = Json::array();
    for (const auto &[key, counts] : evidence.failures) {
        failures.push_back(
            Json::array({key.interval, routeIndex(routes, key.route), static_cast<unsigned>(key.role), counts.requests, counts.failures}));
    }
    Json latencies = Json::array();
    for (const auto &[key, counts] : evidence.latencies) {
        latencies.push_back(Json::array({key.interval,
                                         routeIndex(routes, key.route),
                                         static_cast<unsigned>(key.role),
                                         key.target.value,
                                         counts.requests,
                                         counts.slow}));
    }
    Json responses = Json::array();
    for (const auto &[segment, counts] : evidence.responses) {
        responses.push_back(Json::array({routeIndex(routes, segment.route),
                                         static_cast<unsigned>(segment.level),
                                         counts.oldSuccesses,
                                         counts.newSuccesses,
                                         counts.oldFastSuccesses,
                                         counts.newFastSuccesses,
                                         counts.requestsToOld,
                                         counts.requestsToNew}));
    }
    return Json::to_cbor(Json::array({evidence.revision, routes, std::move(failures), std::move(latencies), std::move(responses)}));
}

MemberEvidence decodeEvidence(const std::vector<std::uint8_t> &bytes)
{
    try {
        const auto json = Core::parseCbor(bytes);
        const auto routes = json.at(1).get<std::vector<std::string>>();
        const auto routeAt = [&routes](const Json &index) {
            return routes.at(index.get<std::size_t>());
        };
        MemberEvidence evidence{.revision = json.at(0).get<std::uint64_t>(), .failures = {}, .latencies = {}, .responses = {}};
        for (const auto &entry : json.at(2)) {
            evidence.failures[{.interval = entry.at(0).get<IntervalIndex>(),
                               .route = routeAt(entry.at(1)),
                               .role = enumerationFromJson(entry.at(2), VersionRole::New)}]
                = {entry.at(3).get<std::uint32_t>(), entry.at(4).get<std::uint32_t>()};
        }
        for (const auto &entry : json.at(3)) {
            evidence.latencies[{.interval = entry.at(0).get<IntervalIndex>(),
                                .route = routeAt(entry.at(1)),
                                .role = enumerationFromJson(entry.at(2), VersionRole::New),
                                .target = {entry.at(3).get<std::string>()}}]
                = {entry.at(4).get<std::uint32_t>(), entry.at(5).get<std::uint32_t>()};
        }
        for (const auto &entry : json.at(4)) {
            evidence.responses[{.route = routeAt(entry.at(0)), .level = enumerationFromJson(entry.at(1), LoadLevel::High)}]
                = {.oldSuccesses = entry.at(2).get<std::uint64_t>(),
                   .newSuccesses = entry.at(3).get<std::uint64_t>(),
                   .oldFastSuccesses = entry.at(4).get<std::uint64_t>(),
                   .newFastSuccesses = entry.at(5).get<std::uint64_t>(),
                   .requestsToOld = entry.at(6).get<std::uint64_t>(),
                   .requestsToNew = entry.at(7).get<std::uint64_t>()};
        }
        return evidence;
    } catch (const Json::exception &error) {
        throw CodecError{error.what()};
    } catch (const std::out_of_range &error) {
        throw CodecError{error.what()};
    }
}

} // namespace Briarbend::Rollout
