#pragma once

#include <LibGateway/RecordStore.h>

#include <map>
#include <optional>

namespace Briarbend::Gateway
{

/// Records with conditional writes, in memory.
class FakeRecords
{
public:
    boost::asio::awaitable<RecordReadResult> read(RecordName name, Freshness freshness = Freshness::Linearizable)
    {
        ++(freshness == Freshness::Linearizable ? this->calls : this->relaxedCalls);
        if (this->isAway) {
            co_return StoreFailure{"away"};
        }
        const auto &shown = freshness == Freshness::Relaxed && this->replica ? *this->replica : this->records;
        const auto found = shown.find(name);
        if (found == shown.end()) {
            co_return RecordAbsent{};
        }
        co_return found->second;
    }

    boost::asio::awaitable<RecordWriteResult> write(RecordName name, std::optional<Revision> expected, std::string content)
    {
        ++this->calls;
        if (this->isAway) {
            co_return StoreFailure{"away"};
        }
        const auto found = this->records.find(name);
        const auto held = found == this->records.end() ? std::nullopt : std::optional(found->second.revision);
        if (held != expected) {
            co_return RecordConflict{held ? std::optional(found->second) : std::nullopt};
        }
        this->put(name, std::move(content));
        ++this->writes;
        co_return Written{this->records.at(name).revision};
    }

    /// Writes on behalf of another instance.
    void put(RecordName name, std::string content)
    {
        this->records[name] = {.content = std::move(content), .revision = {.era = 0, .number = ++this->revision}};
    }

    /// Relaxed reads show what there is now and nothing that is written later.
    void holdReplica()
    {
        this->replica = this->records;
    }

    std::string content(RecordName name) const
    {
        const auto found = this->records.find(name);
        return found == this->records.end() ? std::string{} : found->second.content;
    }

    bool isAway{false};
    std::size_t relaxedCalls{0};
    std::size_t calls{0};
    std::size_t writes{0};

private:
    std::map<RecordName, SharedRecord> records;
    std::optional<std::map<RecordName, SharedRecord>> replica;
    std::uint64_t revision{0};
};

} // namespace Briarbend::Gateway
