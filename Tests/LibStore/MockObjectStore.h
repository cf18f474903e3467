#pragma once

#include <LibStore/ObjectStore.h>

#include <gmock/gmock.h>

namespace Briarbend::Store
{

class MockObjectStore : public ObjectStore
{
public:
    MOCK_METHOD(boost::asio::awaitable<ReadResult>, read, (std::string key), (override));
    MOCK_METHOD(boost::asio::awaitable<WriteResult>, write, (std::string key, std::string value, Condition condition), (override));
    MOCK_METHOD(boost::asio::awaitable<WatchResult>, watch, (std::string prefix, Version afterRevision, Core::Duration wait), (override));
    MOCK_METHOD(boost::asio::awaitable<ListResult>, list, (std::string prefix), (override));
    MOCK_METHOD(boost::asio::awaitable<InstancesResult>, instances, (), (override));
};

/// What a mocked call of the store answers at once.
template<typename Result>
boost::asio::awaitable<Result> answer(Result result)
{
    co_return result;
}

} // namespace Briarbend::Store
