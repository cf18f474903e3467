#include <LibCore/BoundedJson.h>
#include <LibRollout/CodecError.h>
#include <LibRollout/Status.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <tuple>

namespace Briarbend::Rollout
{

namespace
{

using Json = nlohmann::json;

constexpr std::array PHASE_NAMES{"waiting", "trial", "ramping", "done", "taken back"};
constexpr std::array FAULT_NAMES{"none", "failures", "slowness", "unproven"};

template<typename Enumeration, std::size_t COUNT>
Enumeration enumeratorOf(const std::array<const char *, COUNT> &names, const std::string &name)
{
    const auto found = std::ranges::find(names, name);
    if (found == names.end()) {
        throw CodecError{"rollout status has the unknown phase or fault \"" + name + '"'};
    }
    return static_cast<Enumeration>(found - names.begin());
}

std::int64_t toMilliseconds(Core::WallTime time)
{
    return time.time_since_epoch().count();
}

Core::WallTime timeAt(const Json &json)
{
    return Core::WallTime{std::chrono::milliseconds{json.get<std::int64_t>()}};
}

/// Orders statuses of one rollout by progress. Ties are broken so that the result of merging does not depend on the order.
auto progressRank(const Status &status)
{
    // Among equals, the earliest time is kept.
    return std::tuple(status.phase, status.step, -toMilliseconds(status.since), status.fault, status.faultRoute);
}

auto rolloutRank(const Status &status)
{
    return std::tie(status.start, status.to, status.from, status.service);
}

} // namespace

const char *nameOf(Phase phase)
{
    return PHASE_NAMES.at(static_cast<std::size_t>(phase));
}

const char *nameOf(Fault fault)
{
    return FAULT_NAMES.at(static_cast<std::size_t>(fault));
}

bool isSameRollout(const Status &one, const Status &other)
{
    return rolloutRank(one) == rolloutRank(other);
}

Status merge(const Status &one, const Status &other)
{
    if (!isSameRollout(one, other)) {
        return rolloutRank(one) < rolloutRank(other) ? other : one;
    }
    auto merged = progressRank(one) < progressRank(other) ? other : one;
    merged.isProven = one.isProven || other.isProven;
    return merged;
}

std::string statusStoreKey(const Core::ServiceName &service)
{
    return "rollouts/" + service.value;
}

std::string encodeStatus(const Status &status)
{
    return Json{{"service", status.service.value},
                {"from", status.from.value},
                {"to", status.to.value},
                {"startMilliseconds", toMilliseconds(status.start)},
                {"phase", nameOf(status.phase)},
                {"step", status.step},
                {"sinceMilliseconds", toMilliseconds(status.since)},
                {"fault", nameOf(status.fault)},
                {"faultRoute", status.faultRoute},
                {"isProven", status.isProven}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Status decodeStatus(const std::string &text)
{
    try {
        const auto json = Core::parseJson(text);
        return {.service = {json.at("service").get<std::string>()},
                .from = {json.at("from").get<std::string>()},
                .to = {json.at("to").get<std::string>()},
                .start = timeAt(json.at("startMilliseconds")),
                .phase = enumeratorOf<Phase>(PHASE_NAMES, json.at("phase").get<std::string>()),
                .step = json.at("step").get<std::uint32_t>(),
                .since = timeAt(json.at("sinceMilliseconds")),
                .fault = enumeratorOf<Fault>(FAULT_NAMES, json.at("fault").get<std::string>()),
                .faultRoute = json.at("faultRoute").get<std::string>(),
                .isProven = json.value("isProven", false)};
    } catch (const Json::exception &error) {
        throw CodecError{error.what()};
    }
}

} // namespace Briarbend::Rollout
