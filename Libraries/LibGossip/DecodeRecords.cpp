#include <LibGossip/DecodeRecords.h>

#include <algorithm>

namespace Briarbend::Gossip
{

namespace
{

VerdictRecord decodeVerdict(Fields &fields)
{
    VerdictRecord record;
    record.rollout.service.value = fields.text();
    record.rollout.from.value = fields.text();
    record.rollout.to.value = fields.text();
    record.rollout.start = Core::WallTime{std::chrono::milliseconds{fields.signedNumber()}};
    record.outcome = fields.enumerator(RolloutOutcome::TakenBack);
    record.step = fields.unsignedNumber<std::uint32_t>();
    return record;
}

EvidenceRecord decodeEvidence(Fields &fields)
{
    EvidenceRecord record;
    record.key.member.value = fields.text();
    record.key.service.value = fields.text();
    record.key.version.value = fields.text();
    record.key.routePrefix = fields.text();
    record.key.loadBucket = fields.unsignedNumber<std::uint8_t>();
    record.sequence = fields.unsignedNumber<std::uint64_t>();
    record.requests = fields.unsignedNumber<std::uint64_t>();
    record.failures = fields.unsignedNumber<std::uint64_t>();
    Fields counts{fields.next()};
    std::ranges::generate(record.latencyCounts, [&counts] {
        return counts.unsignedNumber<std::uint32_t>();
    });
    counts.finish();
    return record;
}

Record decodeRecordFields(std::uint8_t tag, Fields &fields)
{
    switch (tag) {
    case 0:
        return decodeVerdict(fields);
    case 1: {
        const auto fingerprint = fields.unsignedNumber<std::uint64_t>();
        return QuarantineRecord{fingerprint, {fields.text()}};
    }
    case 2: {
        WarmMark mark{{fields.text()}, fields.unsignedNumber<std::uint64_t>(), false};
        mark.isWarm = fields.flag();
        return mark;
    }
    case 3: {
        WarmthRecord record;
        record.start.value = fields.text();
        record.member.value = fields.text();
        record.epoch = fields.unsignedNumber<std::uint64_t>();
        record.completedRequests = fields.unsignedNumber<std::uint64_t>();
        return record;
    }
    case 4:
        return decodeEvidence(fields);
    default:
        throw MalformedMessage("unknown record kind");
    }
}

} // namespace

CarriedRecord decodeRecord(const nlohmann::json &value)
{
    Fields tagged{value};
    const auto tag = tagged.unsignedNumber<std::uint8_t>();
    const std::chrono::seconds remaining{tagged.unsignedNumber<std::uint32_t>()};
    Fields fields{tagged.next()};
    tagged.finish();
    CarriedRecord carried{decodeRecordFields(tag, fields), remaining};
    fields.finish();
    return carried;
}

SectionNews decodeSectionNews(const nlohmann::json &value)
{
    Fields fields{value};
    SectionNews news;
    news.team.value = fields.text();
    news.storeVersion = fields.unsignedNumber<std::uint64_t>();
    news.baseVersion = fields.unsignedNumber<std::uint64_t>();
    if (news.baseVersion != 0) {
        news.prefixLength = fields.unsignedNumber<std::uint32_t>();
        news.suffixLength = fields.unsignedNumber<std::uint32_t>();
        news.middle = fields.text();
        news.textHash = fields.unsignedNumber<std::uint64_t>();
    }
    fields.finish();
    return news;
}

} // namespace Briarbend::Gossip
