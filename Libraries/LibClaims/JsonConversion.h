#pragma once

#include <LibClaims/BucketCodec.h>
#include <LibClaims/Claim.h>

#include <nlohmann/json.hpp>

/// JSON forms of the parts that the stored bucket and the messages share. Not part of the library's interface.
namespace Briarbend::Claims
{

using Json = nlohmann::json;

Json digestToJson(const Digest &digest);
Digest digestFromJson(const Json &json);
Json attemptToJson(const AttemptId &attempt);
AttemptId attemptFromJson(const Json &json);
Json timeToJson(Core::WallTime time);
Core::WallTime timeFromJson(const Json &json);
Json answerToJson(const std::optional<RecordedAnswer> &answer);
std::optional<RecordedAnswer> answerFromJson(const Json &json);

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

} // namespace Briarbend::Claims
