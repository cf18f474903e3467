#pragma once

#include <LibNetwork/Http.h>
#include <LibStore/ObjectStore.h>

#include <functional>

#include <string_view>

/// Requests and responses of the store's HTTP binding, without I/O. Hosts are set by the sender.
namespace Briarbend::Store
{

/// Throws std::invalid_argument where the key has a character outside [A-Za-z0-9._/-], here and below.
Network::Request makeReadRequest(std::string_view key);
/// Throws std::length_error where the value is above MAXIMUM_VALUE_BYTES.
Network::Request makeWriteRequest(std::string_view key, std::string value, const Condition &condition);
Network::Request makeWatchRequest(std::string_view prefix, Version afterRevision, Core::Duration wait);
Network::Request makeListRequest(std::string_view prefix);
Network::Request makeInstancesRequest();

/// A response that does not follow the protocol is Unavailable with a reason, here and below.
ReadResult parseReadResponse(const Network::Response &response);
/// Server errors are Unknown: the store may have failed after the write. So is a success without a version.
WriteResult parseWriteResponse(const Network::Response &response);
WatchResult parseWatchResponse(const Network::Response &response);
ListResult parseListResponse(const Network::Response &response);
/// Leaves out entries that cannot be read and reports them through the callback. Unavailable if all are.
InstancesResult parseInstancesResponse(const Network::Response &response, const std::function<void(const std::string &problem)> &onSkipped);

} // namespace Briarbend::Store
