#include <LibCore/BoundedJson.h>
#include <LibGateway/TenantShareMessage.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Briarbend::Gateway
{

namespace
{

using Json = nlohmann::json;

/// Identifies the alternative of TenantShareMessage; the first value of a message.
enum class MessageTag {
    Report,
    Answer,
};

/// Counts are whole numbers, which take fewer bytes.
std::uint64_t wholeNumber(double count)
{
    return static_cast<std::uint64_t>(count);
}

/// Throws std::exception unless the value is a number between zero and the greatest.
double decodeNumber(const Json &value, double greatest)
{
    const auto number = value.get<double>();
    if (!(number >= 0 && number <= greatest)) {
        throw std::out_of_range("number out of range");
    }
    return number;
}

constexpr double MAXIMUM_COUNT = 1e9;

Json encodeDemand(const Tenants::ServiceDemand &demand)
{
    auto tenants = Json::array();
    for (const auto &[tenant, count] : demand.counts.byTenant) {
        tenants.push_back(Json::array({tenant, wholeNumber(count)}));
    }
    return Json::array({demand.service.value,
                        demand.span.count(),
                        wholeNumber(demand.counts.served),
                        wholeNumber(demand.counts.refused),
                        std::move(tenants)});
}

Tenants::ServiceDemand decodeDemand(const Json &row)
{
    Tenants::ServiceDemand demand{
        .service = {row.at(0).get<std::string>()},
        .span = std::chrono::milliseconds(static_cast<std::int64_t>(decodeNumber(row.at(1), MAXIMUM_COUNT))),
        .counts = {.byTenant = {}, .served = decodeNumber(row.at(2), MAXIMUM_COUNT), .refused = decodeNumber(row.at(3), MAXIMUM_COUNT)}};
    for (const auto &tenant : row.at(4)) {
        demand.counts.byTenant[tenant.at(0).get<std::string>()] = decodeNumber(tenant.at(1), MAXIMUM_COUNT);
    }
    return demand;
}

Json encodeFractions(const Tenants::ServiceFractions &fractions)
{
    auto limited = Json::array();
    for (const auto &[tenant, fraction] : fractions.limited) {
        limited.push_back(Json::array({tenant, fraction}));
    }
    return Json::array({fractions.service.value, std::move(limited)});
}

Tenants::ServiceFractions decodeFractions(const Json &row)
{
    Tenants::ServiceFractions fractions{.service = {row.at(0).get<std::string>()}, .limited = {}};
    std::ranges::transform(row.at(1), std::back_inserter(fractions.limited), [](const Json &tenant) {
        return Tenants::TenantFraction{.tenant = tenant.at(0).get<std::string>(), .fraction = decodeNumber(tenant.at(1), 1)};
    });
    return fractions;
}

struct MessageEncoder {
    Json operator()(const Tenants::DemandReport &report) const
    {
        auto services = Json::array();
        std::ranges::transform(report.services, std::back_inserter(services), encodeDemand);
        return Json::array({MessageTag::Report, report.reporter, std::move(services)});
    }

    Json operator()(const TenantShareAnswer &answer) const
    {
        auto services = Json::array();
        std::ranges::transform(answer.services, std::back_inserter(services), encodeFractions);
        return Json::array({MessageTag::Answer, std::move(services)});
    }
};

} // namespace

std::string encodeTenantShares(const TenantShareMessage &message)
{
    std::string bytes;
    Json::to_cbor(std::visit(MessageEncoder{}, message), bytes);
    return bytes;
}

TenantShareMessage decodeTenantShares(std::string_view bytes)
{
    const auto row = Core::parseCbor(bytes);
    switch (row.at(0).get<MessageTag>()) {
    case MessageTag::Report: {
        Tenants::DemandReport report{.reporter = row.at(1).get<std::string>(), .services = {}};
        std::ranges::transform(row.at(2), std::back_inserter(report.services), decodeDemand);
        return report;
    }
    case MessageTag::Answer: {
        TenantShareAnswer answer;
        std::ranges::transform(row.at(1), std::back_inserter(answer.services), decodeFractions);
        return answer;
    }
    }
    throw std::invalid_argument("unknown message");
}

} // namespace Briarbend::Gateway
