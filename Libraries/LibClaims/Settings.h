#pragma once

#include <chrono>
#include <cstddef>

namespace Briarbend::Claims
{

inline constexpr std::size_t KIBIBYTE = 1024;

/// Settings of claims. `window` must be equal on all instances: BucketLayout carries it through the store.
struct Settings {
    /// Time in which repeats of a key are recognized.
    std::chrono::milliseconds window{std::chrono::hours{24}};
    /// Largest difference between the clocks of any two instances; added to the window before a claim is evicted.
    std::chrono::milliseconds clockSkew{std::chrono::minutes{5}};
    /// Time for which a released claim is remembered, so that late messages of its attempt are turned away.
    std::chrono::milliseconds releasedRetention{std::chrono::minutes{10}};
    /// Size in bytes of a bucket's value above which it takes no new claims.
    std::size_t softBucketLimitBytes{512 * KIBIBYTE};
    /// Size in bytes above which answers are not kept any more. Below the platform's limit for a value of one megabyte.
    std::size_t hardBucketLimitBytes{896 * KIBIBYTE};
    /// Largest answer in bytes that is kept for repeats, fields included.
    std::size_t maximumAnswerBytes{16 * KIBIBYTE};
    /// Operations in one conditional update. One makes each operation a write of its own.
    std::size_t batchLimit{512};
    /// Operations that may wait for a bucket's next update. More claims than this are turned away.
    std::size_t queueLimit{4096};
    /// Time between the starts of two updates of a bucket: bounds the writes a second of this service's buckets.
    std::chrono::milliseconds updateInterval{10};
    /// Time for which an outcome may wait to share an update with a claim.
    std::chrono::milliseconds outcomeLinger{20};
    /// Delay before the store is tried again after a failure; doubles up to maximumBackoff.
    std::chrono::milliseconds initialBackoff{50};
    std::chrono::milliseconds maximumBackoff{1000};
    /// Time for which a requester waits for the bucket's owner before it commits on its own.
    std::chrono::milliseconds ownerTimeout{50};
    /// Delay between two looks at a claim that another attempt holds; doubles up to maximumPollInterval.
    std::chrono::milliseconds initialPollInterval{20};
    std::chrono::milliseconds maximumPollInterval{500};
};

} // namespace Briarbend::Claims
