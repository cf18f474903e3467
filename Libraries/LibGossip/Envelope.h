#pragma once

#include <LibGossip/Digest.h>
#include <LibMembership/Message.h>

#include <vector>

namespace Briarbend::Gossip
{

/// Kinds that are compared by digest. RequestStats and warmUpProgress are not: the next publication repairs a lost one.
enum class DigestKind : std::uint8_t {
    /// Members that are not gone.
    Members,
    Sections,
    RolloutProgress,
    Quarantine,
    WarmUpStates,
};
constexpr std::size_t DIGEST_KINDS = 5;
using Summaries = std::array<std::uint32_t, DIGEST_KINDS>;

/// A record on its way, with the time it has left; time left rather than a time of day, because clocks differ.
struct CarriedRecord {
    Record record;
    std::chrono::seconds remaining{0};

    bool operator==(const CarriedRecord &) const = default;
};

/// Announces a section version, and carries it where the text differs little from the version before.
struct SectionUpdate {
    Core::TeamName team;
    std::uint64_t storeVersion{0};
    /// The version that the difference applies to; zero where only the announcement is made.
    std::uint64_t baseVersion{0};
    /// Bytes of the base text kept at its start and its end; `middle` stands between them.
    std::uint32_t prefixLength{0};
    std::uint32_t suffixLength{0};
    std::string middle;
    /// Of the whole resulting text.
    std::uint64_t textHash{0};

    bool operator==(const SectionUpdate &) const = default;
};

/// First step of a comparison: the buckets of one kind.
struct CompareBuckets {
    DigestKind kind{};
    BucketDigests digests{};

    bool operator==(const CompareBuckets &) const = default;
};

/// Second step: the records in buckets that differ, or a part of them where they are many.
struct CompareRecords {
    DigestKind kind{};
    /// Bit n stands for bucket n.
    std::uint32_t buckets{0};
    /// Only key hashes from the first to the last are compared.
    std::uint32_t firstKeyHash{0};
    std::uint32_t lastKeyHash{0};
    std::vector<RecordDigest> records;

    bool operator==(const CompareRecords &) const = default;
};

/// Third step: asks for the records with these key hashes.
struct RequestRecords {
    DigestKind kind{};
    std::vector<std::uint32_t> keyHashes;

    bool operator==(const RequestRecords &) const = default;
};

struct RequestSection {
    Core::TeamName team;
    /// The least version of use to the sender.
    std::uint64_t storeVersion{0};

    bool operator==(const RequestSection &) const = default;
};

struct DeliverSection {
    SectionText section;

    bool operator==(const DeliverSection &) const = default;
};

/// Asks for all records, after a start.
struct RequestSnapshot {
    bool operator==(const RequestSnapshot &) const = default;
};

using Exchange
    = std::variant<std::monostate, CompareBuckets, CompareRecords, RequestRecords, RequestSection, DeliverSection, RequestSnapshot>;

/// Everything that one message between instances may hold.
struct Envelope {
    Membership::Message membership;
    Summaries summaries{};
    std::vector<SectionUpdate> sections;
    std::vector<CarriedRecord> records;
    Exchange exchange;

    bool operator==(const Envelope &) const = default;
};

} // namespace Briarbend::Gossip
