#include <LibClaims/JsonConversion.h>

#include <algorithm>

namespace Briarbend::Claims
{

namespace
{

// Bodies and header fields may hold arbitrary bytes, so they are encoded as byte strings and not as text.
Json bytesToJson(const std::string &text)
{
    return Json::binary({text.begin(), text.end()});
}

std::string bytesFromJson(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

} // namespace

Json digestToJson(const Digest &digest)
{
    return Json::binary({digest.bytes.begin(), digest.bytes.end()});
}

Digest digestFromJson(const Json &json)
{
    const auto &bytes = json.get_binary();
    Digest digest;
    if (bytes.size() != digest.bytes.size()) {
        throw CodecError{"cannot decode digest: it has " + std::to_string(bytes.size()) + " bytes instead of "
                         + std::to_string(digest.bytes.size())};
    }
    std::ranges::copy(bytes, digest.bytes.begin());
    return digest;
}

Json attemptToJson(const AttemptId &attempt)
{
    return Json::array({attempt.high, attempt.low});
}

AttemptId attemptFromJson(const Json &json)
{
    return {.high = json.at(0).get<std::uint64_t>(), .low = json.at(1).get<std::uint64_t>()};
}

Json timeToJson(Core::WallTime time)
{
    return time.time_since_epoch().count();
}

Core::WallTime timeFromJson(const Json &json)
{
    return Core::WallTime{std::chrono::milliseconds{json.get<std::int64_t>()}};
}

Json answerToJson(const std::optional<RecordedAnswer> &answer)
{
    if (!answer) {
        return nullptr;
    }
    Json fields = Json::array();
    for (const auto &field : answer->fields) {
        fields.push_back(Json::array({bytesToJson(field.name), bytesToJson(field.value)}));
    }
    return Json::array({answer->status, std::move(fields), bytesToJson(answer->body)});
}

std::optional<RecordedAnswer> answerFromJson(const Json &json)
{
    if (json.is_null()) {
        return std::nullopt;
    }
    RecordedAnswer answer{.status = json.at(0).get<unsigned>(), .fields = {}, .body = bytesFromJson(json.at(2))};
    for (const auto &field : json.at(1)) {
        answer.fields.push_back({bytesFromJson(field.at(0)), bytesFromJson(field.at(1))});
    }
    return answer;
}

} // namespace Briarbend::Claims
