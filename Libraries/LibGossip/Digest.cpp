#include <LibGossip/Digest.h>

#include <xxhash.h>

namespace Briarbend::Gossip
{

namespace
{

/// Concatenates fields into a byte string that differs whenever any field differs.
struct HashInput {
    std::string bytes;

    HashInput &add(std::string_view text)
    {
        this->add(static_cast<std::uint64_t>(text.size()));
        this->bytes += text;
        return *this;
    }

    HashInput &add(std::uint64_t number)
    {
        constexpr int BYTE_BITS = 8;
        for (int shift = 0; shift < 64; shift += BYTE_BITS) {
            this->bytes += static_cast<char>(number >> shift);
        }
        return *this;
    }

    std::uint32_t hash() const
    {
        return static_cast<std::uint32_t>(XXH3_64bits(this->bytes.data(), this->bytes.size()));
    }
};

std::uint64_t number(const auto &value)
{
    return static_cast<std::uint64_t>(value);
}

/// Hashes the key fields first, then the key together with the remaining fields.
struct Hasher {
    HashInput key;

    RecordDigest finish(const auto &addContent) const
    {
        auto content = this->key;
        addContent(content);
        return {this->key.hash(), content.hash()};
    }

    RecordDigest operator()(const RolloutProgressRecord &record)
    {
        const auto &rollout = record.rollout;
        this->key.add(rollout.service.value).add(rollout.from.value).add(rollout.to.value);
        this->key.add(number(rollout.start.time_since_epoch().count()));
        return this->finish([&record](HashInput &content) {
            content.add(number(record.phase)).add(record.step);
        });
    }

    RecordDigest operator()(const QuarantineRecord &record)
    {
        this->key.add(record.fingerprint).add(record.failedTarget.value);
        return this->finish([](HashInput &) {});
    }

    RecordDigest operator()(const WarmUpStateRecord &record)
    {
        this->key.add(record.start.value);
        return this->finish([&record](HashInput &content) {
            content.add(record.epoch).add(number(record.isWarm));
        });
    }

    RecordDigest operator()(const WarmUpProgressRecord &record)
    {
        this->key.add(record.start.value).add(record.member.value);
        return this->finish([&record](HashInput &content) {
            content.add(record.epoch).add(record.completedRequests);
        });
    }

    RecordDigest operator()(const RequestStatsRecord &record)
    {
        const auto &scope = record.key.scope;
        this->key.add(record.key.member).add(scope.service.value).add(scope.version.value);
        this->key.add(scope.routePrefix).add(number(scope.loadBucket));
        return this->finish([&record](HashInput &content) {
            content.add(record.sequence);
        });
    }
};

} // namespace

RecordDigest digestOf(const Record &record)
{
    return std::visit(Hasher{}, record);
}

RecordDigest digestOf(const SectionText &section)
{
    Hasher hasher;
    hasher.key.add(section.team.value);
    return hasher.finish([&section](HashInput &content) {
        content.add(section.storeVersion);
    });
}

RecordDigest digestOf(const Membership::MemberUpdate &update)
{
    Hasher hasher;
    hasher.key.add(update.id.value);
    return hasher.finish([&update](HashInput &content) {
        content.add(update.incarnation).add(number(update.state));
    });
}

std::size_t bucketOf(const RecordDigest &digest)
{
    return digest.keyHash % DIGEST_BUCKETS;
}

void toggle(BucketDigests &digests, const RecordDigest &digest)
{
    digests.at(bucketOf(digest)) ^= digest.contentHash;
}

std::uint32_t summaryOf(const BucketDigests &digests)
{
    return static_cast<std::uint32_t>(XXH3_64bits(digests.data(), digests.size() * sizeof(digests.front())));
}

} // namespace Briarbend::Gossip
