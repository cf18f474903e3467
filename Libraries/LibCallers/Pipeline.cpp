#include <LibCallers/Pipeline.h>

#include <algorithm>
#include <iterator>
#include <numeric>

namespace Briarbend::Callers
{

namespace
{

using Requests = std::vector<PipelinedRequest>;

/// Removes the requests from the given one on and returns their identifiers.
std::vector<RequestId> removeFrom(Requests &requests, Requests::iterator first)
{
    std::vector<RequestId> removed;
    std::transform(first, requests.end(), std::back_inserter(removed), [](const PipelinedRequest &request) {
        return request.id;
    });
    requests.erase(first, requests.end());
    return removed;
}

} // namespace

RequestId append(Pipeline &pipeline, PipelinedRequest request)
{
    request.id = ++pipeline.lastId;
    request.stage = RequestStage::Waiting;
    pipeline.requests.push_back(request);
    return request.id;
}

std::uint64_t heldBytes(const Pipeline &pipeline)
{
    return std::accumulate(
        pipeline.requests.begin(), pipeline.requests.end(), std::uint64_t{0}, [](std::uint64_t sum, const PipelinedRequest &request) {
            return sum + request.bytes;
        });
}

std::uint64_t bytesFreedByClosing(const Pipeline &pipeline)
{
    return std::accumulate(
        pipeline.requests.begin(), pipeline.requests.end(), std::uint64_t{0}, [](std::uint64_t sum, const PipelinedRequest &request) {
            return sum + (request.stage == RequestStage::Running ? 0 : request.bytes);
        });
}

bool mayRead(const Pipeline &pipeline, const PipelineBounds &bounds)
{
    const auto &requests = pipeline.requests;
    if (requests.empty()) {
        return true;
    }
    return !requests.back().closesConnection && requests.size() < bounds.requests && heldBytes(pipeline) < bounds.bytes;
}

std::optional<RequestId> nextToStart(const Pipeline &pipeline, const PipelineBounds &bounds)
{
    const auto &requests = pipeline.requests;
    // Requests start in order, so that those that wait stand behind all others.
    const auto next = std::ranges::find(requests, RequestStage::Waiting, &PipelinedRequest::stage);
    if (next == requests.end()) {
        return std::nullopt;
    }
    if (next == requests.begin()) {
        return next->id;
    }
    const bool isBlocked = std::any_of(requests.begin(), next, [](const PipelinedRequest &request) {
        return request.isAtMostOnce || request.closesConnection;
    });
    if (isBlocked || next->isAtMostOnce || heldBytes(pipeline) >= bounds.bytes) {
        return std::nullopt;
    }
    return next->id;
}

PipelinedRequest *find(Pipeline &pipeline, RequestId id)
{
    const auto found = std::ranges::find(pipeline.requests, id, &PipelinedRequest::id);
    return found == pipeline.requests.end() ? nullptr : &*found;
}

bool isNextReady(const Pipeline &pipeline)
{
    return !pipeline.requests.empty() && pipeline.requests.front().stage == RequestStage::Ready;
}

void removeFirst(Pipeline &pipeline)
{
    pipeline.requests.erase(pipeline.requests.begin());
}

void closeAfterLast(Pipeline &pipeline)
{
    if (!pipeline.requests.empty()) {
        pipeline.requests.back().closesConnection = true;
    }
}

std::vector<RequestId> removeWaiting(Pipeline &pipeline)
{
    return removeFrom(pipeline.requests, std::ranges::find(pipeline.requests, RequestStage::Waiting, &PipelinedRequest::stage));
}

std::vector<RequestId> removeUnsent(Pipeline &pipeline)
{
    auto &requests = pipeline.requests;
    if (requests.empty() || pipeline.isDraining) {
        return {};
    }
    pipeline.isDraining = true;
    const auto lastSent = std::find_if(requests.rbegin(), std::prev(requests.rend()), [](const PipelinedRequest &request) {
        return request.wasSent || request.stage == RequestStage::Ready;
    });
    auto removed = removeFrom(requests, lastSent.base());
    closeAfterLast(pipeline);
    return removed;
}

} // namespace Briarbend::Callers
