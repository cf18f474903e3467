#include <LibGateway/Attempt.h>

#include <LibGateway/AdmissionControl.h>

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

/// Forwards a request to a peer because this instance reaches no target.
namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;

/// Peers are a few milliseconds away; one that does not accept a connection within this time is not there.
constexpr std::chrono::milliseconds PEER_CONNECT_TIMEOUT{250};
/// Peers that are tried where connections to the first ones fail. Nothing was sent to those.
constexpr std::size_t MAXIMUM_PEERS = 3;
constexpr unsigned SERVICE_UNAVAILABLE = 503;
constexpr unsigned TOO_MANY_REQUESTS = 429;

} // namespace

bool Attempt::isForwardingUseful() const
{
    const auto &state = this->context->state;
    if (!state.findPeer || !this->context->forwardedBy.empty()) {
        return false;
    }
    if (Fleet::mayBeCutOff(state.connectivity)) {
        return true;
    }
    const auto now = Core::Clock::now();
    const auto unreachable = std::ranges::count_if(this->service->targets, [now](const Fleet::TargetState &target) {
        return target.ejectedUntil > now;
    });
    // A service of which every target has failed is no better reached from elsewhere, which one peer finds out at once.
    return 2 * static_cast<std::size_t>(unreachable) >= this->service->targets.size() && unreachable > 0;
}

Asio::awaitable<std::unique_ptr<Relay::TargetConnection>> Attempt::connectToPeer()
{
    auto &state = this->context->state;
    const bool isRepeatable = this->context->route->kind != Configuration::RouteKind::Once;
    for (std::size_t tries = 0; tries < MAXIMUM_PEERS; ++tries) {
        const auto peer = co_await state.findPeer(this->context->triedPeers);
        if (!peer) {
            co_return nullptr;
        }
        this->context->triedPeers.push_back(peer->value);
        this->name = peer->value;
        // A kept connection may be closed while the request is on its way, which must then not be sent again.
        if (auto kept = isRepeatable ? state.pool.takeIdle(*peer) : nullptr) {
            co_return kept;
        }
        try {
            co_return co_await state.pool.connect(*peer, Core::Clock::now() + PEER_CONNECT_TIMEOUT);
        } catch (const boost::system::system_error &error) {
            this->context->recordDecision("peer_unreachable", {{"peer", peer->value}, {"failure", error.code().message()}});
        }
    }
    co_return nullptr;
}

Asio::awaitable<void> Attempt::forward()
{
    auto &state = this->context->state;
    leaveQueue(*this->context);
    if (!this->context->forwardedBy.empty()) {
        // Requests are forwarded once, so that they do not circulate among instances that are cut off.
        this->result = AttemptResult::NoTarget;
        co_return;
    }
    this->connection = co_await this->connectToPeer();
    if (!this->connection) {
        this->context->recordDecision("no_peer", {{"peers", this->context->triedPeers}});
        this->result = AttemptResult::NoTarget;
        co_return;
    }
    if (this->isAbandoned()) {
        state.pool.returnIdle(std::move(this->connection), Core::Clock::now());
        this->result = AttemptResult::NotSent;
        co_return;
    }
    ++state.counters.forwarded;
    this->isForwarded = true;
    this->isSent = true;
    this->sentAt = Core::Clock::now();
    this->context->recordDecision("forward", {{"peer", this->name}});
    const bool isWhole = co_await this->send() && co_await this->receive();
    if (!isWhole) {
        this->result = AttemptResult::Unknown;
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(Core::Clock::now() - this->sentAt);
    nlohmann::ordered_json inputs{{"peer", this->name}, {"took_ms", elapsed.count()}};
    if (isWhole) {
        inputs["status"] = this->response.head.result_int();
    }
    if (!this->failure.empty()) {
        inputs["failure"] = this->failure;
    }
    this->context->recordDecision(isWhole ? "answered_by_peer" : "lost_at_peer", std::move(inputs));
}

void Attempt::evaluatePeerResponse(const ResponseMetadata &metadata)
{
    const auto status = this->response.head.result_int();
    if (this->response.head.count(OWN_ANSWER_FIELD) == 0) {
        this->result = AttemptResult::Answered;
        return;
    }
    // What the peer answers itself is no response of a target. Its 429 and 503 promise that the request has not run; its 404 shows another
    // configuration, under which it has not run either.
    const bool isNotRun = status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS || status / 100 == 4;
    if (!isNotRun) {
        this->failure = "the peer lost the target";
        this->result = AttemptResult::Unknown;
        return;
    }
    this->retryAfter = metadata.quietFor.value_or(std::chrono::milliseconds{0});
    this->wasRefusedByPeer = true;
    this->result = AttemptResult::NotRun;
}

} // namespace Briarbend::Gateway
