#pragma once

#include <LibClaims/BucketCodec.h>
#include <LibClaims/Claim.h>

#include <nlohmann/json.hpp>

/// JSON conversions of the types that occur in both stored buckets and messages. Not part of the library's public interface.
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

/// Decodes CBOR and converts the JSON library's exceptions to CodecError.
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
