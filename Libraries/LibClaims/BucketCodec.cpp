#include <LibClaims/BucketCodec.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Briarbend::Claims
{

namespace
{

using Json = nlohmann::json;

constexpr int BUCKET_FORMAT = 1;

Json digestToJson(const Digest &digest)
{
    return Json::binary({digest.bytes.begin(), digest.bytes.end()});
}

Digest digestFromJson(const Json &json)
{
    const auto &bytes = json.get_binary();
    Digest digest;
    if (bytes.size() != digest.bytes.size()) {
        throw CodecError{"a digest has the wrong size"};
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

// Bodies and field values are arbitrary bytes and therefore binary, not text.
Json bytesToJson(const std::string &text)
{
    return Json::binary({text.begin(), text.end()});
}

std::string bytesFromJson(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
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

Json claimToJson(const Digest &key, const Claim &claim)
{
    Json released = Json::array();
    std::ranges::transform(claim.releasedAttempts, std::back_inserter(released), attemptToJson);
    return Json::array({digestToJson(key),
                        digestToJson(claim.request),
                        attemptToJson(claim.attempt),
                        claim.instance.value,
                        timeToJson(claim.created),
                        static_cast<unsigned>(claim.state),
                        answerToJson(claim.answer),
                        std::move(released)});
}

ClaimState stateFromJson(const Json &json)
{
    const auto value = json.get<unsigned>();
    if (value > static_cast<unsigned>(ClaimState::Released)) {
        throw CodecError{"a claim has an unknown state"};
    }
    return static_cast<ClaimState>(value);
}

Claim claimFromJson(const Json &json)
{
    Claim claim{.request = digestFromJson(json.at(1)),
                .attempt = attemptFromJson(json.at(2)),
                .instance = {json.at(3).get<std::string>()},
                .created = timeFromJson(json.at(4)),
                .state = stateFromJson(json.at(5)),
                .answer = answerFromJson(json.at(6)),
                .releasedAttempts = {}};
    std::ranges::transform(json.at(7), std::back_inserter(claim.releasedAttempts), attemptFromJson);
    if ((claim.state == ClaimState::Answered) != claim.answer.has_value()) {
        throw CodecError{"a claim's answer does not fit its state"};
    }
    return claim;
}

/// Reads CBOR and turns the library's exceptions into CodecError.
template<typename Value, typename Reader>
Value decode(const std::vector<std::uint8_t> &bytes, Reader read)
{
    try {
        return read(Json::from_cbor(bytes));
    } catch (const Json::exception &error) {
        throw CodecError{error.what()};
    }
}

// Messages are arrays that begin with the index of their type in its variant.

Json toJson(const ClaimOperation &operation)
{
    return Json::array({digestToJson(operation.key),
                        digestToJson(operation.request),
                        attemptToJson(operation.attempt),
                        operation.instance.value,
                        timeToJson(operation.submittedAt)});
}

Json toJson(const RecordOperation &operation)
{
    return Json::array({digestToJson(operation.key), attemptToJson(operation.attempt), answerToJson(operation.answer)});
}

Json toJson(const ReleaseOperation &operation)
{
    return Json::array({digestToJson(operation.key), attemptToJson(operation.attempt), timeToJson(operation.submittedAt)});
}

Operation operationFromJson(const Json &json)
{
    const auto &content = json.at(1);
    switch (json.at(0).get<unsigned>()) {
    case 0:
        return ClaimOperation{.key = digestFromJson(content.at(0)),
                              .request = digestFromJson(content.at(1)),
                              .attempt = attemptFromJson(content.at(2)),
                              .instance = {content.at(3).get<std::string>()},
                              .submittedAt = timeFromJson(content.at(4))};
    case 1:
        return RecordOperation{
            .key = digestFromJson(content.at(0)), .attempt = attemptFromJson(content.at(1)), .answer = answerFromJson(content.at(2))};
    case 2:
        return ReleaseOperation{
            .key = digestFromJson(content.at(0)), .attempt = attemptFromJson(content.at(1)), .submittedAt = timeFromJson(content.at(2))};
    default:
        throw CodecError{"an operation has an unknown type"};
    }
}

template<typename Empty>
Json toJson(const Empty & /*result*/)
{
    return Json::array();
}

Json toJson(const AlreadyAnswered &result)
{
    return Json::array({answerToJson(result.answer)});
}

Json toJson(const RunningElsewhere &result)
{
    return Json::array({attemptToJson(result.attempt), result.instance.value});
}

Json toJson(const WindowFull &result)
{
    return Json::array({result.retryAfter.count()});
}

Json toJson(const StoreUnavailable &result)
{
    return Json::array({result.retryAfter.count(), result.mayBeStored});
}

template<typename Variant>
Json variantToJson(const Variant &variant)
{
    return std::visit(
        [&variant](const auto &value) {
            return Json::array({variant.index(), toJson(value)});
        },
        variant);
}

ClaimResult claimResultFromJson(const Json &json)
{
    const auto &content = json.at(1);
    switch (json.at(0).get<unsigned>()) {
    case 0:
        return Granted{};
    case 1:
        return AlreadyAnswered{answerFromJson(content.at(0)).value_or(RecordedAnswer{})};
    case 2:
        return AnswerLost{};
    case 3:
        return RunningElsewhere{attemptFromJson(content.at(0)), {content.at(1).get<std::string>()}};
    case 4:
        return DigestDiffers{};
    case 5:
        return OutcomeIsUnknown{};
    case 6:
        return AttemptEnded{};
    case 7:
        return WindowFull{std::chrono::milliseconds{content.at(0).get<std::int64_t>()}};
    case 8:
        return StoreUnavailable{std::chrono::milliseconds{content.at(0).get<std::int64_t>()}, content.at(1).get<bool>()};
    default:
        throw CodecError{"a claim's result has an unknown type"};
    }
}

} // namespace

std::vector<std::uint8_t> encodeBucket(const Bucket &bucket)
{
    Json claims = Json::array();
    for (const auto &[key, claim] : bucket.claims) {
        claims.push_back(claimToJson(key, claim));
    }
    Json marks = Json::array();
    for (const auto &mark : bucket.timeMarks) {
        marks.push_back(Json::array({mark.instance.value, timeToJson(mark.time)}));
    }
    return Json::to_cbor(Json::array({BUCKET_FORMAT, std::move(claims), std::move(marks)}));
}

Bucket decodeBucket(const std::vector<std::uint8_t> &bytes)
{
    if (bytes.empty()) {
        return {};
    }
    return decode<Bucket>(bytes, [](const Json &json) {
        if (json.at(0) != BUCKET_FORMAT) {
            throw CodecError{"a bucket has an unknown format"};
        }
        Bucket bucket;
        for (const auto &claim : json.at(1)) {
            bucket.claims.emplace(digestFromJson(claim.at(0)), claimFromJson(claim));
        }
        for (const auto &mark : json.at(2)) {
            bucket.timeMarks.push_back({{mark.at(0).get<std::string>()}, timeFromJson(mark.at(1))});
        }
        return bucket;
    });
}

std::vector<std::uint8_t> encodeOperation(const Operation &operation)
{
    return Json::to_cbor(variantToJson(operation));
}

Operation decodeOperation(const std::vector<std::uint8_t> &bytes)
{
    return decode<Operation>(bytes, operationFromJson);
}

std::vector<std::uint8_t> encodeResult(const OperationResult &result)
{
    if (const auto *claim = std::get_if<ClaimResult>(&result)) {
        return Json::to_cbor(Json::array({true, variantToJson(*claim)}));
    }
    return Json::to_cbor(Json::array({false, std::holds_alternative<Stored>(std::get<OutcomeResult>(result))}));
}

OperationResult decodeResult(const std::vector<std::uint8_t> &bytes)
{
    return decode<OperationResult>(bytes, [](const Json &json) -> OperationResult {
        if (json.at(0).get<bool>()) {
            return claimResultFromJson(json.at(1));
        }
        return json.at(1).get<bool>() ? OutcomeResult{Stored{}} : OutcomeResult{NotHeld{}};
    });
}

} // namespace Briarbend::Claims
