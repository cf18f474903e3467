#include <LibClaims/BucketCodec.h>
#include <LibClaims/JsonConversion.h>

#include <algorithm>

namespace Briarbend::Claims
{

namespace
{

constexpr int BUCKET_FORMAT = 1;

Json claimToJson(const Digest &key, const Claim &claim)
{
    Json released = Json::array();
    std::ranges::transform(claim.releasedAttempts, std::back_inserter(released), attemptToJson);
    return Json::array({digestToJson(key),
                        digestToJson(claim.requestDigest),
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
        throw CodecError{"cannot decode claim: unknown state " + std::to_string(value)};
    }
    return static_cast<ClaimState>(value);
}

Claim claimFromJson(const Json &json)
{
    Claim claim{.requestDigest = digestFromJson(json.at(1)),
                .attempt = attemptFromJson(json.at(2)),
                .instance = {json.at(3).get<std::string>()},
                .created = timeFromJson(json.at(4)),
                .state = stateFromJson(json.at(5)),
                .answer = answerFromJson(json.at(6)),
                .releasedAttempts = {}};
    std::ranges::transform(json.at(7), std::back_inserter(claim.releasedAttempts), attemptFromJson);
    if ((claim.state == ClaimState::Answered) != claim.answer.has_value()) {
        throw CodecError{"cannot decode claim: an answer must be present if and only if the state is Answered"};
    }
    return claim;
}

} // namespace

std::vector<std::uint8_t> encodeBucket(const Bucket &bucket)
{
    Json claims = Json::array();
    for (const auto &[key, claim] : bucket.claims) {
        claims.push_back(claimToJson(key, claim));
    }
    Json samples = Json::array();
    for (const auto &sample : bucket.clockSamples) {
        samples.push_back(Json::array({sample.instance.value, timeToJson(sample.time)}));
    }
    return Json::to_cbor(Json::array({BUCKET_FORMAT, std::move(claims), std::move(samples)}));
}

Bucket decodeBucket(const std::vector<std::uint8_t> &bytes)
{
    if (bytes.empty()) {
        return {};
    }
    return decode<Bucket>(bytes, [](const Json &json) {
        if (json.at(0) != BUCKET_FORMAT) {
            throw CodecError{"cannot decode bucket: unknown format version"};
        }
        Bucket bucket;
        for (const auto &claim : json.at(1)) {
            bucket.claims.emplace(digestFromJson(claim.at(0)), claimFromJson(claim));
        }
        for (const auto &sample : json.at(2)) {
            bucket.clockSamples.push_back({{sample.at(0).get<std::string>()}, timeFromJson(sample.at(1))});
        }
        return bucket;
    });
}

} // namespace Briarbend::Claims
