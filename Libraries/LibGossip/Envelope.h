#pragma once

#include <LibGossip/Digest.h>
#include <LibMembership/Message.h>

#include <vector>

namespace Briarbend::Gossip
{

/// Kinds that are compared by digest. Request statistics and warm-up progress are not compared, because the next publication replaces a
/// lost record.
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

/// A record in transit with its remaining lifetime. It carries no expiry time of day, because clocks differ between instances.
struct CarriedRecord {
    Record record;
    std::chrono::seconds remaining{0};

    bool operator==(const CarriedRecord &) const = default;
};

/// Announces a section version. Includes the delta from the previous version if it is small.
struct SectionUpdate {
    Core::TeamName team;
    std::uint64_t storeVersion{0};
    /// The version that the delta applies to; zero if the update only announces the version.
    std::uint64_t baseVersion{0};
    /// Number of bytes kept from the start and from the end of the base text; `middle` replaces what lies between them.
    std::uint32_t prefixLength{0};
    std::uint32_t suffixLength{0};
    std::string middle;
    /// Hash of the complete resulting text.
    std::uint64_t textHash{0};

    bool operator==(const SectionUpdate &) const = default;
};

/// First step of a comparison: the bucket digests of one kind.
struct CompareBuckets {
    DigestKind kind{};
    BucketDigests digests{};

    bool operator==(const CompareBuckets &) const = default;
};

/// Second step of a comparison: the digests of the records in the buckets that differ, or of a part of these records if there are many.
struct CompareRecords {
    DigestKind kind{};
    /// Bit mask: bit n stands for bucket n.
    std::uint32_t buckets{0};
    /// Only key hashes from firstKeyHash to lastKeyHash, both included, are compared.
    std::uint32_t firstKeyHash{0};
    std::uint32_t lastKeyHash{0};
    std::vector<RecordDigest> records;

    bool operator==(const CompareRecords &) const = default;
};

/// Third step of a comparison: requests the records with these key hashes.
struct RequestRecords {
    DigestKind kind{};
    std::vector<std::uint32_t> keyHashes;

    bool operator==(const RequestRecords &) const = default;
};

struct RequestSection {
    Core::TeamName team;
    /// The lowest version that the sender needs.
    std::uint64_t storeVersion{0};

    bool operator==(const RequestSection &) const = default;
};

struct DeliverSection {
    SectionText section;

    bool operator==(const DeliverSection &) const = default;
};

/// Requests all records and section versions after a start.
struct RequestSnapshot {
    bool operator==(const RequestSnapshot &) const = default;
};

using Exchange
    = std::variant<std::monostate, CompareBuckets, CompareRecords, RequestRecords, RequestSection, DeliverSection, RequestSnapshot>;

/// The content of one gossip message between instances.
struct Envelope {
    Membership::Message membership;
    Summaries summaries{};
    std::vector<SectionUpdate> sections;
    std::vector<CarriedRecord> records;
    Exchange exchange;

    bool operator==(const Envelope &) const = default;
};

} // namespace Briarbend::Gossip
