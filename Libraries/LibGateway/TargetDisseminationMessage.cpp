#include <LibCore/BoundedJson.h>
#include <LibGateway/TargetDisseminationMessage.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Briarbend::Gateway
{

namespace
{

using Json = nlohmann::json;

/// Identifies the alternative of TargetDisseminationMessage; the first value of a message.
enum class MessageTag {
    Report,
    Digest,
    LeavingTargetsRequest,
};

Json encodeStart(const Fleet::TargetStart &start)
{
    return Json::array({start.name, start.startedAtMilliseconds});
}

Fleet::TargetStart decodeStart(const Json &row)
{
    return {.name = row.at(0).get<std::string>(), .startedAtMilliseconds = row.at(1).get<std::int64_t>()};
}

Json encodeOutcomes(const Fleet::TargetOutcomes &targetOutcomes)
{
    return Json::array({targetOutcomes.target.name,
                        targetOutcomes.target.startedAtMilliseconds,
                        targetOutcomes.outcomes.failed,
                        targetOutcomes.outcomes.answered});
}

Fleet::TargetOutcomes decodeOutcomes(const Json &row)
{
    return {.target = decodeStart(row), .outcomes = {.failed = row.at(2).get<std::uint32_t>(), .answered = row.at(3).get<std::uint32_t>()}};
}

Json encodeSuspect(const Fleet::Suspect &suspect)
{
    return Json::array({suspect.target.name, suspect.target.startedAtMilliseconds, suspect.failureShare});
}

Fleet::Suspect decodeSuspect(const Json &row)
{
    return {.target = decodeStart(row), .failureShare = row.at(2).get<double>()};
}

Json encodeRate(const TargetRate &rate)
{
    auto row = encodeStart(rate.target);
    row.push_back(rate.requestsPerSecond ? Json(*rate.requestsPerSecond) : Json());
    return row;
}

TargetRate decodeRate(const Json &row)
{
    const auto &rate = row.at(2);
    return {.target = decodeStart(row), .requestsPerSecond = rate.is_null() ? std::nullopt : std::optional(rate.get<double>())};
}

template<typename Row>
Json encodeAll(const std::vector<Row> &rows, Json (*encode)(const Row &))
{
    auto encoded = Json::array();
    std::ranges::transform(rows, std::back_inserter(encoded), encode);
    return encoded;
}

template<typename Row>
std::vector<Row> decodeAll(const Json &rows, Row (*decode)(const Json &))
{
    std::vector<Row> decoded;
    std::ranges::transform(rows, std::back_inserter(decoded), decode);
    return decoded;
}

/// The rates at a place of a message; instances of earlier releases send none.
std::vector<TargetRate> decodeRates(const Json &message, std::size_t place)
{
    return place < message.size() ? decodeAll(message.at(place), decodeRate) : std::vector<TargetRate>{};
}

struct MessageEncoder {
    Json operator()(const TargetReport &report) const
    {
        return Json::array({MessageTag::Report,
                            report.reporter,
                            encodeAll(report.targetOutcomes, encodeOutcomes),
                            encodeAll(report.leaving, encodeStart),
                            encodeAll(report.rates, encodeRate)});
    }

    Json operator()(const TargetDigest &digest) const
    {
        return Json::array({MessageTag::Digest,
                            encodeAll(digest.suspects, encodeSuspect),
                            encodeAll(digest.leaving, encodeStart),
                            encodeAll(digest.rates, encodeRate)});
    }

    Json operator()(const LeavingTargetsRequest &request) const
    {
        return Json::array({MessageTag::LeavingTargetsRequest, request.requester});
    }
};

} // namespace

std::string encodeTargetDissemination(const TargetDisseminationMessage &message)
{
    std::string bytes;
    Json::to_cbor(std::visit(MessageEncoder{}, message), bytes);
    return bytes;
}

TargetDisseminationMessage decodeTargetDissemination(std::string_view bytes)
{
    const auto row = Core::parseCbor(bytes);
    switch (row.at(0).get<MessageTag>()) {
    case MessageTag::Report:
        return TargetReport{.reporter = row.at(1).get<std::string>(),
                            .targetOutcomes = decodeAll(row.at(2), decodeOutcomes),
                            .leaving = decodeAll(row.at(3), decodeStart),
                            .rates = decodeRates(row, 4)};
    case MessageTag::Digest:
        return TargetDigest{
            .suspects = decodeAll(row.at(1), decodeSuspect), .leaving = decodeAll(row.at(2), decodeStart), .rates = decodeRates(row, 3)};
    case MessageTag::LeavingTargetsRequest:
        return LeavingTargetsRequest{.requester = row.at(1).get<std::string>()};
    }
    throw std::invalid_argument("unknown message");
}

} // namespace Briarbend::Gateway
