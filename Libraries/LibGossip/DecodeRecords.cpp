#include <LibGossip/DecodeRecords.h>

#include <LibGossip/Wire.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <span>

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

std::uint32_t takeCount(std::span<const std::uint8_t> &bytes)
{
    std::uint64_t count = 0;
    for (int shift = 0; shift <= 4 * BITS_PER_BYTE && !bytes.empty(); shift += BITS_PER_BYTE) {
        const auto byte = bytes.front();
        bytes = bytes.subspan(1);
        count |= std::uint64_t{byte & LOW_BITS} << shift;
        if ((byte & MORE_FOLLOWS) == 0 && count <= std::numeric_limits<std::uint32_t>::max()) {
            return static_cast<std::uint32_t>(count);
        }
    }
    throw MalformedMessage("count without end or out of range");
}

EvidenceRecord decodeEvidence(Fields &fields, const std::optional<EvidenceSubject> &subject)
{
    if (!subject) {
        throw MalformedMessage("evidence without its subject");
    }
    EvidenceRecord record;
    record.key.subject = *subject;
    record.key.member = fields.unsignedNumber<std::uint32_t>();
    record.sequence = fields.unsignedNumber<std::uint64_t>();
    record.requests = fields.unsignedNumber<std::uint64_t>();
    record.failures = fields.unsignedNumber<std::uint64_t>();
    std::span<const std::uint8_t> counts = fields.bytes();
    std::ranges::generate(record.latencyCounts, [&counts] {
        return takeCount(counts);
    });
    if (!counts.empty()) {
        throw MalformedMessage("too many counts");
    }
    return record;
}

EvidenceSubject decodeSubject(const nlohmann::json &value)
{
    Fields fields{value};
    EvidenceSubject subject;
    subject.service.value = fields.text();
    subject.version.value = fields.text();
    subject.routePrefix = fields.text();
    subject.loadBucket = fields.unsignedNumber<std::uint8_t>();
    fields.finish();
    return subject;
}

Record decodeRecordFields(std::uint8_t tag, Fields &fields, const std::optional<EvidenceSubject> &subject)
{
    switch (tag) {
    case 0:
        return decodeVerdict(fields);
    case 1: {
        const auto fingerprint = fields.unsignedNumber<std::uint64_t>();
        return QuarantineRecord{fingerprint, {fields.text()}};
    }
    case 2: {
        WarmUpStateRecord mark{{fields.text()}, fields.unsignedNumber<std::uint64_t>(), false};
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
        return decodeEvidence(fields, subject);
    default:
        throw MalformedMessage("unknown record kind");
    }
}

CarriedRecord decodeRecord(const nlohmann::json &value, const std::optional<EvidenceSubject> &subject)
{
    Fields tagged{value};
    const auto tag = tagged.unsignedNumber<std::uint8_t>();
    const std::chrono::seconds remaining{tagged.unsignedNumber<std::uint32_t>()};
    Fields fields{tagged.next()};
    tagged.finish();
    CarriedRecord carried{decodeRecordFields(tag, fields, subject), remaining};
    fields.finish();
    return carried;
}

bool isSubject(const nlohmann::json &value)
{
    return value.is_array() && !value.empty() && value.front().is_string();
}

} // namespace

std::vector<CarriedRecord> decodeRecords(const nlohmann::json &value)
{
    if (!value.is_array()) {
        throw MalformedMessage("expected a list of records");
    }
    std::vector<CarriedRecord> records;
    std::optional<EvidenceSubject> subject;
    for (const auto &element : value) {
        if (isSubject(element)) {
            subject = decodeSubject(element);
        } else {
            records.push_back(decodeRecord(element, subject));
        }
    }
    return records;
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
