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

/// Position of the answers in encoded evidence. Earlier versions of the program leave them out.
constexpr std::size_t ANSWERS_INDEX = 5;

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
    for (const auto &[group, counts] : evidence.answers) {
        routes.push_back(group.route);
    }
    std::ranges::sort(routes);
    routes.erase(std::unique(routes.begin(), routes.end()), routes.end());
    return routes;
}

/// Buckets and their counts in turn.
Json toJson(const std::map<LatencyBucket, std::uint64_t> &successes)
{
    Json json = Json::array();
    for (const auto &[bucket, count] : successes) {
        json.push_back(bucket);
        json.push_back(count);
    }
    return json;
}

std::map<LatencyBucket, std::uint64_t> successesFromJson(const Json &json)
{
    std::map<LatencyBucket, std::uint64_t> successes;
    for (std::size_t index = 0; index + 1 < json.size(); index += 2) {
        const auto bucket = json.at(index).get<std::uint64_t>();
        if (bucket >= LATENCY_BUCKETS) {
            throw CodecError{"rollout evidence has the unknown latency bucket " + std::to_string(bucket)};
        }
        successes[static_cast<LatencyBucket>(bucket)] = json.at(index + 1).get<std::uint64_t>();
    }
    return successes;
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

void add(AnswerCounts &sum, const AnswerCounts &other)
{
    sum.failures += other.failures;
    sum.coldSuccesses += other.coldSuccesses;
    for (const auto &[bucket, count] : other.successes) {
        sum.successes[bucket] += count;
    }
}

void add(std::map<AnswerGroup, AnswerCounts> &sum, const std::map<AnswerGroup, AnswerCounts> &other)
{
    for (const auto &[group, counts] : other) {
        add(sum[group], counts);
    }
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
    Json answers = Json::array();
    for (const auto &[group, counts] : evidence.answers) {
        answers.push_back(Json::array({routeIndex(routes, group.route),
                                       static_cast<unsigned>(group.role),
                                       group.target.value,
                                       counts.failures,
                                       counts.coldSuccesses,
                                       toJson(counts.successes)}));
    }
    // Earlier versions of the program read the first five elements.
    return Json::to_cbor(
        Json::array({evidence.revision, routes, std::move(failures), std::move(latencies), std::move(responses), std::move(answers)}));
}

MemberEvidence decodeEvidence(const std::vector<std::uint8_t> &bytes)
{
    try {
        const auto json = Core::parseCbor(bytes);
        const auto routes = json.at(1).get<std::vector<std::string>>();
        const auto routeAt = [&routes](const Json &index) {
            return routes.at(index.get<std::size_t>());
        };
        MemberEvidence evidence{
            .revision = json.at(0).get<std::uint64_t>(), .failures = {}, .latencies = {}, .responses = {}, .answers = {}};
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
        const auto answers = json.size() > ANSWERS_INDEX ? json.at(ANSWERS_INDEX) : Json::array();
        for (const auto &entry : answers) {
            evidence.answers[{.route = routeAt(entry.at(0)),
                              .role = enumerationFromJson(entry.at(1), VersionRole::New),
                              .target = {entry.at(2).get<std::string>()}}]
                = {.failures = entry.at(3).get<std::uint64_t>(),
                   .coldSuccesses = entry.at(4).get<std::uint64_t>(),
                   .successes = successesFromJson(entry.at(5))};
        }
        return evidence;
    } catch (const Json::exception &error) {
        throw CodecError{error.what()};
    } catch (const std::out_of_range &error) {
        throw CodecError{error.what()};
    }
}

} // namespace Briarbend::Rollout
