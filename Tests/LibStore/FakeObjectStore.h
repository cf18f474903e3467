#pragma once

#include <LibStore/ObjectStore.h>

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <functional>
#include <map>

namespace Briarbend::Store
{

/// What happens to one call.
enum class Fault {
    None,
    /// The answer is lost after the write.
    LostAnswer,
    /// The request is lost before the write.
    LostRequest,
    Outage,
};

/// The store in memory, with a fault for each of the next calls and a hook between a call and its effect.
class FakeObjectStore final : public ObjectStore
{
public:
    std::map<std::string, Object> objects;
    std::vector<ListedInstance> listed;
    /// Taken from the front, one a call; none once empty.
    std::deque<Fault> faults;
    /// Called before each write takes effect.
    std::function<void(const std::string &key)> beforeWrite;
    std::size_t writes{0};

    Version put(const std::string &key, std::string value)
    {
        this->revision += 1;
        this->objects[key] = {std::move(value), this->revision};
        return this->revision;
    }

    Version versionOf(const std::string &key) const
    {
        const auto found = this->objects.find(key);
        return found == this->objects.end() ? 0 : found->second.version;
    }

    boost::asio::awaitable<ReadResult> read(std::string key) override
    {
        if (co_await this->nextFault() != Fault::None) {
            co_return Unavailable{"fault"};
        }
        const auto found = this->objects.find(key);
        co_return found == this->objects.end() ? ReadResult(Absent{}) : ReadResult(found->second);
    }

    boost::asio::awaitable<WriteResult> write(std::string key, std::string value, Condition condition) override
    {
        const auto fault = co_await this->nextFault();
        if (this->beforeWrite) {
            this->beforeWrite(key);
        }
        if (fault == Fault::Outage) {
            co_return Unavailable{"fault"};
        }
        if (fault == Fault::LostRequest) {
            co_return Unknown{"fault"};
        }
        const auto current = this->versionOf(key);
        const auto *expected = std::get_if<IfVersion>(&condition);
        if ((expected != nullptr && expected->version != current) || (std::holds_alternative<IfAbsent>(condition) && current != 0)) {
            co_return fault == Fault::None ? WriteResult(Conflict{current}) : WriteResult(Unknown{"fault"});
        }
        this->writes += 1;
        const auto version = this->put(key, std::move(value));
        co_return fault == Fault::None ? WriteResult(Written{version}) : WriteResult(Unknown{"fault"});
    }

    boost::asio::awaitable<WatchResult> watch(std::string prefix, Version, Core::Duration) override
    {
        auto result = co_await this->list(std::move(prefix));
        co_return std::visit(
            [](auto value) -> WatchResult {
                return value;
            },
            std::move(result));
    }

    boost::asio::awaitable<ListResult> list(std::string prefix) override
    {
        if (co_await this->nextFault() != Fault::None) {
            co_return Unavailable{"fault"};
        }
        Listing listing{.revision = this->revision, .objects = {}};
        for (const auto &[key, object] : this->objects) {
            if (key.starts_with(prefix)) {
                listing.objects.push_back({key, object.version});
            }
        }
        co_return listing;
    }

    boost::asio::awaitable<InstancesResult> instances() override
    {
        co_return this->listed;
    }

private:
    boost::asio::awaitable<Fault> nextFault()
    {
        // Lets other coroutines run between a call and its effect, as a real store would.
        co_await boost::asio::post(co_await boost::asio::this_coro::executor, boost::asio::use_awaitable);
        if (this->faults.empty()) {
            co_return Fault::None;
        }
        const auto fault = this->faults.front();
        this->faults.pop_front();
        co_return fault;
    }

    Version revision{0};
};

} // namespace Briarbend::Store
