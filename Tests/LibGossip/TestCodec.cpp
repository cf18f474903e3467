#include <LibGossip/Codec.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Gossip
{

namespace
{

template<typename Tag>
Core::Identifier<Tag> anyName()
{
    return {*rc::gen::arbitrary<std::string>()};
}

template<typename Number>
Number anyNumber()
{
    return *rc::gen::arbitrary<Number>();
}

std::vector<std::uint32_t> anyHashes()
{
    return *rc::gen::arbitrary<std::vector<std::uint32_t>>();
}

Membership::MemberUpdate anyMemberUpdate()
{
    return {anyName<Core::InstanceIdTag>(),
            anyName<Membership::PeerAddressTag>(),
            anyName<Core::DataCentreNameTag>(),
            anyNumber<std::uint64_t>(),
            *rc::gen::element(Membership::MemberState::Alive, Membership::MemberState::Suspect, Membership::MemberState::Gone),
            anyNumber<std::uint32_t>()};
}

std::vector<Membership::HeardAge> anyAges()
{
    std::vector<Membership::HeardAge> ages(*rc::gen::inRange<std::size_t>(0, 20));
    for (auto &age : ages) {
        age = {anyNumber<std::uint32_t>(),
               Membership::HEARD_AGE_UNIT * *rc::gen::inRange(0, 256),
               Membership::HEARD_AGE_UNIT * *rc::gen::inRange(0, 256)};
    }
    return ages;
}

Membership::Body anyBody()
{
    const auto sequence = anyNumber<std::uint64_t>();
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return std::monostate{};
    case 1:
        return Membership::Ping{sequence, anyNumber<bool>(), anyAges()};
    case 2:
        return Membership::Acknowledgement{sequence, anyAges()};
    case 3:
        return Membership::PingRequest{sequence, anyName<Membership::PeerAddressTag>()};
    default:
        return Membership::IndirectAcknowledgement{sequence, anyName<Core::InstanceIdTag>()};
    }
}

Record anyRecord()
{
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return RolloutProgressRecord{{anyName<Core::ServiceNameTag>(),
                                      anyName<Core::VersionNameTag>(),
                                      anyName<Core::VersionNameTag>(),
                                      Core::WallTime{std::chrono::milliseconds{anyNumber<std::int64_t>()}}},
                                     *rc::gen::element(RolloutPhase::Running, RolloutPhase::Done, RolloutPhase::RolledBack),
                                     anyNumber<std::uint32_t>()};
    case 1:
        return QuarantineRecord{anyNumber<std::uint64_t>(), anyName<Core::TargetIdTag>()};
    case 2:
        return WarmUpStateRecord{anyName<Core::TargetStartIdTag>(), anyNumber<std::uint64_t>(), anyNumber<bool>()};
    case 3:
        return WarmUpProgressRecord{
            anyName<Core::TargetStartIdTag>(), anyName<Core::InstanceIdTag>(), anyNumber<std::uint64_t>(), anyNumber<std::uint64_t>()};
    default: {
        RequestStatsRecord record;
        record.key = {{anyName<Core::ServiceNameTag>(), anyName<Core::VersionNameTag>(), "/lookup", anyNumber<std::uint8_t>()},
                      anyNumber<std::uint32_t>()};
        record.sequence = anyNumber<std::uint64_t>();
        record.requests = anyNumber<std::uint64_t>();
        record.failures = anyNumber<std::uint64_t>();
        record.latencyCounts
            = *rc::gen::container<std::array<std::uint32_t, LATENCY_HISTOGRAM_BUCKETS>>(rc::gen::arbitrary<std::uint32_t>());
        return record;
    }
    }
}

Exchange anyExchange()
{
    const auto kind = *rc::gen::element(DigestKind::Members, DigestKind::Sections, DigestKind::WarmUpStates);
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return std::monostate{};
    case 1:
        return CompareBuckets{kind, *rc::gen::container<BucketDigests>(rc::gen::arbitrary<std::uint32_t>())};
    case 2:
        return CompareRecords{kind,
                              anyNumber<std::uint32_t>(),
                              anyNumber<std::uint32_t>(),
                              anyNumber<std::uint32_t>(),
                              {{anyNumber<std::uint32_t>(), anyNumber<std::uint32_t>()}}};
    case 3:
        return RequestRecords{kind, anyHashes()};
    case 4:
        return RequestSection{anyName<Core::TeamNameTag>(), anyNumber<std::uint64_t>()};
    case 5:
        return DeliverSection{{anyName<Core::TeamNameTag>(), anyNumber<std::uint64_t>(), *rc::gen::arbitrary<std::string>()}};
    default:
        return RequestSnapshot{};
    }
}

Envelope anyEnvelope()
{
    Envelope envelope;
    envelope.membership = {anyMemberUpdate(), anyNumber<bool>(), anyNumber<bool>(), anyBody(), {anyMemberUpdate(), anyMemberUpdate()}};
    envelope.summaries = *rc::gen::container<Summaries>(rc::gen::arbitrary<std::uint32_t>());
    envelope.sections = {{anyName<Core::TeamNameTag>(), anyNumber<std::uint64_t>(), 0, 0, 0, {}, 0},
                         {anyName<Core::TeamNameTag>(),
                          anyNumber<std::uint64_t>(),
                          1,
                          anyNumber<std::uint32_t>(),
                          anyNumber<std::uint32_t>(),
                          *rc::gen::arbitrary<std::string>(),
                          anyNumber<std::uint64_t>()}};
    for (auto left = *rc::gen::inRange(0, 5); left > 0; --left) {
        envelope.records.push_back({anyRecord(), std::chrono::seconds{anyNumber<std::uint32_t>()}});
    }
    envelope.exchange = anyExchange();
    return envelope;
}

/// Returns true if decode returns or throws MalformedMessage. Any other exception fails the test.
bool decodesOrThrowsMalformedMessage(const std::string &bytes)
{
    try {
        decode(bytes);
    } catch (const MalformedMessage &) {
        return true;
    }
    return true;
}

} // namespace

RC_GTEST_PROP(Codec, encodedEnvelopeDecodesToAnEqualEnvelope, ())
{
    const auto envelope = anyEnvelope();
    RC_ASSERT(decode(encode(envelope)) == envelope);
}

RC_GTEST_PROP(Codec, arbitraryBytesThrowOnlyMalformedMessage, (const std::string &bytes))
{
    RC_ASSERT(decodesOrThrowsMalformedMessage(bytes));
    RC_ASSERT_THROWS_AS(decode(bytes.substr(0, 3)), MalformedMessage);
}

RC_GTEST_PROP(Codec, corruptedOrTruncatedMessagesThrowOnlyMalformedMessage, ())
{
    auto bytes = encode(anyEnvelope());
    for (auto left = *rc::gen::inRange(1, 4); left > 0; --left) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    RC_ASSERT(decodesOrThrowsMalformedMessage(bytes));
    RC_ASSERT_THROWS_AS(decode(encode(anyEnvelope()) + "\x01"), MalformedMessage);
    const auto whole = encode(anyEnvelope());
    RC_ASSERT_THROWS_AS(decode(whole.substr(0, *rc::gen::inRange<std::size_t>(0, whole.size()))), MalformedMessage);
}

TEST(Codec, excessiveNestingAndDeclaredLengthsThrowMalformedMessage)
{
    EXPECT_THROW(decode(std::string(2'000'000, '\x81')), MalformedMessage);
    EXPECT_THROW(decode(std::string(2'000'000, '\x9f')), MalformedMessage);
    EXPECT_THROW(decode(std::string("\x9b\x0f\xff\xff\xff\xff\xff\xff\xff", 9)), MalformedMessage);
    EXPECT_THROW(decode(std::string("\x5b\x0f\xff\xff\xff\xff\xff\xff\xff", 9)), MalformedMessage);
}

} // namespace Briarbend::Gossip
