#include <LibClaims/JsonConversion.h>
#include <LibClaims/OperationCodec.h>

namespace Briarbend::Claims
{

namespace
{

// A message is an array whose first element is the index of its type in the variant.

Json toJson(const ClaimOperation &operation)
{
    return Json::array({digestToJson(operation.key),
                        digestToJson(operation.requestDigest),
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
                              .requestDigest = digestFromJson(content.at(1)),
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
        throw CodecError{"cannot decode operation: unknown type"};
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

Json toJson(const HeldByOtherAttempt &result)
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
        return AnswerIsNotKept{};
    case 3:
        return HeldByOtherAttempt{attemptFromJson(content.at(0)), {content.at(1).get<std::string>()}};
    case 4:
        return RequestDigestMismatch{};
    case 5:
        return OutcomeIsUnknown{};
    case 6:
        return AttemptAlreadyReleased{};
    case 7:
        return WindowFull{std::chrono::milliseconds{content.at(0).get<std::int64_t>()}};
    case 8:
        return StoreUnavailable{std::chrono::milliseconds{content.at(0).get<std::int64_t>()}, content.at(1).get<bool>()};
    default:
        throw CodecError{"cannot decode claim result: unknown type"};
    }
}

} // namespace

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
