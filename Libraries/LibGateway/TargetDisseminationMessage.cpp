#include <LibGateway/TargetDisseminationMessage.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Briarbend::Gateway
{

namespace
{

using Json = nlohmann::json;

/// Tells the alternatives of TargetDisseminationMessage apart: the first value of a message.
enum class MessageTag {
    Report,
    Digest,
    LeavingQuestion,
};

Json encodeStart(const Fleet::TargetStart &start)
{
    return Json::array({start.name, start.startedAtMilliseconds});
}

Fleet::TargetStart decodeStart(const Json &row)
{
    return {.name = row.at(0).get<std::string>(), .startedAtMilliseconds = row.at(1).get<std::int64_t>()};
}

Json encodeEvidence(const Fleet::TargetOutcomes &evidence)
{
    return Json::array({evidence.target.name, evidence.target.startedAtMilliseconds, evidence.outcomes.failed, evidence.outcomes.answered});
}

Fleet::TargetOutcomes decodeEvidence(const Json &row)
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

struct MessageEncoder {
    Json operator()(const TargetReport &report) const
    {
        return Json::array(
            {MessageTag::Report, report.witness, encodeAll(report.evidence, encodeEvidence), encodeAll(report.leaving, encodeStart)});
    }

    Json operator()(const TargetDigest &digest) const
    {
        return Json::array({MessageTag::Digest, encodeAll(digest.suspects, encodeSuspect), encodeAll(digest.leaving, encodeStart)});
    }

    Json operator()(const LeavingQuestion &question) const
    {
        return Json::array({MessageTag::LeavingQuestion, question.asker});
    }
};

} // namespace

std::string encodeTargetNews(const TargetDisseminationMessage &message)
{
    std::string bytes;
    Json::to_cbor(std::visit(MessageEncoder{}, message), bytes);
    return bytes;
}

TargetDisseminationMessage decodeTargetNews(std::string_view bytes)
{
    const auto row = Json::from_cbor(bytes);
    switch (row.at(0).get<MessageTag>()) {
    case MessageTag::Report:
        return TargetReport{.witness = row.at(1).get<std::string>(),
                            .evidence = decodeAll(row.at(2), decodeEvidence),
                            .leaving = decodeAll(row.at(3), decodeStart)};
    case MessageTag::Digest:
        return TargetDigest{.suspects = decodeAll(row.at(1), decodeSuspect), .leaving = decodeAll(row.at(2), decodeStart)};
    case MessageTag::LeavingQuestion:
        return LeavingQuestion{.asker = row.at(1).get<std::string>()};
    }
    throw std::invalid_argument("unknown message");
}

} // namespace Briarbend::Gateway
