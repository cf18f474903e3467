#pragma once

#include <LibGossip/Digest.h>
#include <LibGossip/Merge.h>

#include <map>

namespace Briarbend::Gossip
{

/// A record with its local metadata.
template<typename RecordType>
struct Entry {
    RecordType record;
    Core::TimePoint expires;
    Core::TimePoint changedAt;
    /// Number of messages that have carried this version of the record.
    std::uint32_t transmissions{0};
};

/// All records of one kind with the bucket digests that are compared with peers.
template<typename RecordType>
struct Table {
    using Key = std::remove_cvref_t<decltype(keyOf(std::declval<const RecordType &>()))>;

    std::map<Key, Entry<RecordType>> entries;
    BucketDigests digests{};

    const RecordType *find(const Key &key) const
    {
        const auto found = this->entries.find(key);
        return found == this->entries.end() ? nullptr : &found->second.record;
    }
};

/// Inserts the incoming record, or replaces the held one if the incoming one supersedes it. Equal records keep the later expiry. Returns
/// true if the table's record changed.
template<typename RecordType>
bool merge(Table<RecordType> &table, const RecordType &incoming, Core::TimePoint expires, Core::TimePoint now)
{
    if (expires <= now) {
        return false;
    }
    const auto key = keyOf(incoming);
    const auto found = table.entries.find(key);
    if (found == table.entries.end()) {
        table.entries.emplace(key, Entry<RecordType>{incoming, expires, now, 0});
        toggle(table.digests, digestOf(incoming));
        return true;
    }
    auto &entry = found->second;
    if (incoming == entry.record) {
        entry.expires = std::max(entry.expires, expires);
        return false;
    }
    if (!supersedes(incoming, entry.record)) {
        return false;
    }
    toggle(table.digests, digestOf(entry.record));
    entry = Entry<RecordType>{incoming, expires, now, 0};
    toggle(table.digests, digestOf(incoming));
    return true;
}

/// Removes expired records.
template<typename RecordType>
void expire(Table<RecordType> &table, Core::TimePoint now)
{
    std::erase_if(table.entries, [&table, now](const auto &item) {
        if (item.second.expires > now) {
            return false;
        }
        toggle(table.digests, digestOf(item.second.record));
        return true;
    });
}

} // namespace Briarbend::Gossip
