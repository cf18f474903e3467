#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// The order of the requests on one connection of a caller, and what happens when callers hold too much memory.
namespace Briarbend::Callers
{

using RequestId = std::uint64_t;

enum class RequestStage {
    /// Read, and not yet started.
    Waiting,
    Running,
    /// Its response is complete, and not yet written.
    Ready,
};

/// A request that was read and whose response has not been written whole.
struct PipelinedRequest {
    RequestId id{0};
    bool isAtMostOnce{false};
    /// The connection closes after its response.
    bool closesConnection{false};
    /// A target or a peer may have received it.
    bool wasSent{false};
    RequestStage stage{RequestStage::Waiting};
    /// Memory of the request, and of its response once that is ready.
    std::uint64_t bytes{0};
};

/// The requests of one connection in order of arrival.
struct Pipeline {
    std::vector<PipelinedRequest> requests;
    RequestId lastId{0};
    /// The requests that stay when the instance stops have been determined.
    bool isDraining{false};
};

struct PipelineBounds {
    /// Requests that may be read before the first of them is answered.
    std::size_t requests{1};
    /// Memory of the connection beyond which no further request is read or started.
    std::uint64_t bytes{0};
};

/// Adds a request that was read. It waits until it is started.
RequestId append(Pipeline &pipeline, PipelinedRequest request);

std::uint64_t heldBytes(const Pipeline &pipeline);

/// Memory that is free as soon as the connection is closed. A running request keeps its memory until its work has ended.
std::uint64_t bytesFreedByClosing(const Pipeline &pipeline);

/// Whether another request may be read. One may always be read if none is unanswered.
bool mayRead(const Pipeline &pipeline, const PipelineBounds &bounds);

/// The first request that may start now. An at-most-once request starts only at the front, and nothing starts behind it or behind a request
/// that closes the connection.
std::optional<RequestId> nextToStart(const Pipeline &pipeline, const PipelineBounds &bounds);

/// Null if the request has been removed.
PipelinedRequest *find(Pipeline &pipeline, RequestId id);

/// Whether the response to the first request can be written.
bool isNextReady(const Pipeline &pipeline);

/// Removes the first request, whose response was written.
void removeFirst(Pipeline &pipeline);

/// The last request closes the connection, since nothing is read behind it.
void closeAfterLast(Pipeline &pipeline);

/// Removes the requests that have not been started, which are the last ones. Returns them.
std::vector<RequestId> removeWaiting(Pipeline &pipeline);

/// On a planned stop: removes the requests behind the last that was sent or is answered, so that the caller may send them to another
/// instance. The first request always stays. The last of those that stay closes the connection. Has an effect once.
std::vector<RequestId> removeUnsent(Pipeline &pipeline);

} // namespace Briarbend::Callers
