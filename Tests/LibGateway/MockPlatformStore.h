#pragma once

#include <LibGateway/PlatformStore.h>

#include <gmock/gmock.h>

namespace Briarbend::Gateway
{

class MockPlatformStore : public PlatformStore
{
public:
    MOCK_METHOD(boost::asio::awaitable<ListResult>, list, (ObjectKind kind, Freshness freshness), (override));
    MOCK_METHOD(boost::asio::awaitable<WatchResult>,
                watch,
                (ObjectKind kind, Revision after, std::chrono::milliseconds wait, Freshness freshness),
                (override));
    MOCK_METHOD(boost::asio::awaitable<WriteResult>,
                writeProgress,
                (std::string service, Revision revision, RolloutProgress progress),
                (override));
    MOCK_METHOD(void, dropConnections, (), (override));
    MOCK_METHOD(boost::asio::awaitable<RecordReadResult>, readRecord, (RecordName name, Freshness freshness), (override));
    MOCK_METHOD(boost::asio::awaitable<RecordWriteResult>,
                writeRecord,
                (RecordName name, std::optional<Revision> expected, std::string content),
                (override));
};

} // namespace Briarbend::Gateway
