#pragma once

#include <chrono>
#include <cstddef>

namespace Briarbend::Claims
{

inline constexpr std::size_t KIBIBYTE = 1024;

/// Settings of claims. `window` must be equal on all instances, which share it through the BucketLayout in the store.
struct Settings {
    /// Time during which repeats of a key are recognized.
    std::chrono::milliseconds window{std::chrono::hours{24}};
    /// Largest difference between the clocks of any two instances; added to the window before a claim is evicted.
    std::chrono::milliseconds clockSkew{std::chrono::minutes{5}};
    /// Time for which a released claim is kept, so that late messages of its attempt are rejected.
    std::chrono::milliseconds releasedRetention{std::chrono::minutes{10}};
    /// Size in bytes of a bucket's value above which the bucket accepts no new claims.
    std::size_t softBucketLimitBytes{512 * KIBIBYTE};
    /// Size in bytes of a bucket's value above which answers are no longer kept. Below the platform's limit of one megabyte for a value.
    std::size_t hardBucketLimitBytes{896 * KIBIBYTE};
    /// Largest answer in bytes that is kept for repeats, fields included.
    std::size_t maximumAnswerBytes{16 * KIBIBYTE};
    /// Maximum number of operations in one conditional update. With a limit of one, each operation is written separately.
    std::size_t batchLimit{512};
    /// Maximum number of operations that wait for a bucket's next update. Claims beyond it are rejected.
    std::size_t queueLimit{4096};
    /// Minimum time between the starts of two updates of a bucket; limits the writes per second to this service's buckets.
    std::chrono::milliseconds updateInterval{10};
    /// Time for which an outcome may wait to share an update with a claim.
    std::chrono::milliseconds outcomeLinger{20};
    /// Delay before the store is called again after a failure; doubles up to maximumBackoff.
    std::chrono::milliseconds initialBackoff{50};
    std::chrono::milliseconds maximumBackoff{1000};
    /// Time for which a requester waits for the bucket's owner before it submits the claim to its own committer.
    std::chrono::milliseconds ownerTimeout{50};
    /// Delay between two polls of a key that another attempt holds; doubles up to maximumPollInterval.
    std::chrono::milliseconds initialPollInterval{20};
    std::chrono::milliseconds maximumPollInterval{500};
};

} // namespace Briarbend::Claims
