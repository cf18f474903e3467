#include "ClaimsRunner.h"

#include "ClaimsMessage.h"

#include <LibCore/RendezvousHash.h>
#include <LibLog/Log.h>
#include <LibNetwork/WallClock.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Daemon
{

namespace
{

namespace Asio = boost::asio;

/// Time that an owner tries to commit a claim which a peer passed to it.
constexpr std::chrono::seconds CLAIM_PATIENCE{2};
/// Time after which an outcome that its owner has not confirmed is committed here as well.
constexpr std::chrono::milliseconds OUTCOME_PATIENCE{500};
constexpr std::chrono::milliseconds LAYOUT_RETRY{250};
constexpr std::chrono::milliseconds LAYOUT_RETRY_AFTER{1000};
/// An instance that is younger than this may not know of others yet.
constexpr std::chrono::seconds YOUNG_AGE{30};

const auto &logger()
{
    static const auto named = Log::logger("claims");
    return named;
}

std::vector<std::uint8_t> toBytes(const std::string &text)
{
    return {text.begin(), text.end()};
}

std::string toText(const std::vector<std::uint8_t> &bytes)
{
    return {bytes.begin(), bytes.end()};
}

Claims::ReadAnswer toReadAnswer(const Store::ReadResult &result)
{
    if (const auto *object = std::get_if<Store::Object>(&result)) {
        return {Claims::StoreStatus::Ok, object->version, toBytes(object->value)};
    }
    if (std::holds_alternative<Store::Absent>(result)) {
        return {Claims::StoreStatus::Ok, 0, {}};
    }
    return {Claims::StoreStatus::Unavailable, 0, {}};
}

Claims::WriteAnswer toWriteAnswer(const Store::WriteResult &result)
{
    if (const auto *written = std::get_if<Store::Written>(&result)) {
        return {Claims::StoreStatus::Ok, written->version};
    }
    if (std::holds_alternative<Store::Conflict>(result)) {
        return {Claims::StoreStatus::Conflict, 0};
    }
    const bool isUnknown = std::holds_alternative<Store::Unknown>(result);
    return {isUnknown ? Claims::StoreStatus::Unknown : Claims::StoreStatus::Unavailable, 0};
}

Store::Condition conditionOf(std::uint64_t expectedVersion)
{
    if (expectedVersion == 0) {
        return Store::IfAbsent{};
    }
    return Store::IfVersion{expectedVersion};
}

} // namespace

ClaimsRunner::ClaimsRunner(Asio::io_context &ioContext,
                           Store::ObjectStore &objectStore,
                           Coordination::PeerLink &peerLink,
                           Claims::Settings settings,
                           Claims::BucketLayout layout)
    : context(ioContext)
    , store(objectStore)
    , peers(peerLink)
    , claimSettings(settings)
    , ownLayout(layout)
    , startedAt(Core::Clock::now())
{
    this->peers.onMessage(Coordination::Channel::Claims, [this](const std::string &peer, std::string_view bytes) {
        this->receive(peer, bytes);
    });
}

const Claims::Settings &ClaimsRunner::settings() const
{
    return this->claimSettings;
}

void ClaimsRunner::prepare(const Core::ServiceName &service)
{
    if (this->layoutsSought.insert(service).second) {
        Asio::co_spawn(this->context, this->learnLayout(service), Asio::detached);
    }
}

bool ClaimsRunner::isIdle() const
{
    return this->passedCallbacks.empty() && std::ranges::all_of(this->commitments, [](const auto &entry) {
               return Claims::isIdle(entry.second->committer);
           });
}

std::uint64_t ClaimsRunner::storeCalls() const
{
    return this->calls;
}

void ClaimsRunner::submit(const Core::ServiceName &service, const Claims::SubmitOperation &operation, ResultCallback callback)
{
    const auto layout = this->layouts.find(service);
    if (layout == this->layouts.end()) {
        this->prepare(service);
        // Without a layout nothing can have been claimed here, so that records and releases do not come this way.
        Asio::post(this->context, [callback = std::move(callback)] {
            callback(Claims::StoreUnavailable{LAYOUT_RETRY_AFTER, false}, false);
        });
        return;
    }
    const auto storeKey = Claims::bucketStoreKey(service, Claims::bucketOf(Claims::keyOf(operation.operation), layout->second));
    this->submitToBucket(storeKey, operation, [this, callback = std::move(callback)](const Claims::OperationResult &result) {
        const auto *claim = std::get_if<Claims::ClaimResult>(&result);
        if (claim == nullptr) {
            if (std::holds_alternative<Claims::NotHeld>(std::get<Claims::OutcomeResult>(result))) {
                LOG4CXX_ERROR(logger(), "an outcome found no claim of its attempt: see docs/operators/at-most-once.md");
            }
            return;
        }
        const auto *running = std::get_if<Claims::HeldByOtherAttempt>(claim);
        callback(*claim, running != nullptr && this->isGone(running->instance));
    });
}

Asio::awaitable<void> ClaimsRunner::learnLayout(Core::ServiceName service)
{
    const auto key = Claims::layoutStoreKey(service);
    Asio::steady_timer pause(this->context);
    while (!this->layouts.contains(service)) {
        ++this->calls;
        const auto read = co_await this->store.read(key);
        if (const auto *object = std::get_if<Store::Object>(&read)) {
            this->layouts.emplace(service, Claims::decodeLayout(toBytes(object->value)));
            co_return;
        }
        if (std::holds_alternative<Store::Absent>(read)) {
            // Whoever creates it first decides; the next read shows what stands.
            co_await this->store.write(key, toText(Claims::encodeLayout(this->ownLayout)), Store::IfAbsent{});
            continue;
        }
        pause.expires_after(LAYOUT_RETRY);
        co_await pause.async_wait(Asio::use_awaitable);
    }
}

void ClaimsRunner::submitToBucket(const std::string &storeKey, const Claims::SubmitOperation &operation, FinishedCallback callback)
{
    const auto owner = this->ownerOf(storeKey);
    if (operation.path == Claims::CommitPath::Local || owner.empty()) {
        this->commitHere(storeKey, operation.operation, Core::Clock::now() + CLAIM_PATIENCE, std::move(callback));
        return;
    }
    this->passToOwner(owner, storeKey, operation.operation, std::move(callback));
}

void ClaimsRunner::passToOwner(const std::string &owner,
                               const std::string &storeKey,
                               const Claims::Operation &operation,
                               FinishedCallback callback)
{
    const auto id = this->nextId++;
    this->passedCallbacks.emplace(id, std::move(callback));
    const auto &members = this->peers.state().members;
    const auto &self = members.members.at(members.self).update.address.value;
    this->peers.send(Coordination::Channel::Claims, owner, encodeClaimsMessage(ClaimsRequest{id, self, storeKey, operation}));
    this->watchOutcome(id, storeKey, operation);
}

void ClaimsRunner::watchOutcome(std::uint64_t id, const std::string &storeKey, const Claims::Operation &operation)
{
    const bool isClaim = std::holds_alternative<Claims::ClaimOperation>(operation);
    auto timer
        = std::make_shared<Asio::steady_timer>(this->context, isClaim ? Core::Duration{CLAIM_PATIENCE} : Core::Duration{OUTCOME_PATIENCE});
    timer->async_wait([this, timer, id, storeKey, operation, isClaim](const boost::system::error_code &error) {
        const auto passed = this->passedCallbacks.find(id);
        if (error || passed == this->passedCallbacks.end()) {
            return;
        }
        auto callback = std::move(passed->second);
        this->passedCallbacks.erase(passed);
        if (!isClaim) {
            this->commitHere(storeKey, operation, Core::TimePoint::max(), std::move(callback));
        }
    });
}

void ClaimsRunner::commitHere(const std::string &storeKey, Claims::Operation operation, Core::TimePoint giveUpAt, FinishedCallback callback)
{
    auto &commitment = this->commitments[storeKey];
    if (!commitment) {
        const auto &self = this->peers.state().members.self;
        commitment = std::make_shared<Commitment>(this->context, Claims::BucketCommitter(self, this->settingsFor(storeKey)), storeKey);
    }
    const auto id = this->nextId++;
    this->localCallbacks.emplace(id, std::move(callback));
    this->carryOut(commitment,
                   Claims::submit(commitment->committer, id, std::move(operation), giveUpAt, Core::Clock::now(), Network::wallNow()));
}

void ClaimsRunner::carryOut(const std::shared_ptr<Commitment> &commitment, Claims::CommitterStep step)
{
    if (step.request) {
        Asio::co_spawn(this->context, this->callStore(commitment, std::move(*step.request)), Asio::detached);
    }
    if (step.wakeAt) {
        this->armTimer(commitment, *step.wakeAt);
    }
    for (const auto &finished : step.finished) {
        const auto found = this->localCallbacks.find(finished.id);
        if (found == this->localCallbacks.end()) {
            continue;
        }
        const auto callback = std::move(found->second);
        this->localCallbacks.erase(found);
        callback(finished.result);
    }
}

Asio::awaitable<void> ClaimsRunner::callStore(std::shared_ptr<Commitment> commitment, Claims::StoreRequest request)
{
    ++this->calls;
    if (const auto *write = std::get_if<Claims::ConditionalWrite>(&request)) {
        const auto result = co_await this->store.write(commitment->storeKey, toText(write->value), conditionOf(write->expectedVersion));
        this->carryOut(commitment, Claims::onWritten(commitment->committer, toWriteAnswer(result), Core::Clock::now(), Network::wallNow()));
        co_return;
    }
    const auto result = co_await this->store.read(commitment->storeKey);
    this->carryOut(commitment, Claims::onRead(commitment->committer, toReadAnswer(result), Core::Clock::now(), Network::wallNow()));
}

void ClaimsRunner::armTimer(const std::shared_ptr<Commitment> &commitment, Core::TimePoint wakeAt)
{
    commitment->timer.expires_at(wakeAt);
    commitment->timer.async_wait([this, commitment](const boost::system::error_code &error) {
        if (!error) {
            this->carryOut(commitment, Claims::onTimer(commitment->committer, Core::Clock::now(), Network::wallNow()));
        }
    });
}

void ClaimsRunner::receive(const std::string &, std::string_view bytes)
{
    auto message = decodeClaimsMessage(bytes);
    if (auto *reply = std::get_if<ClaimsReply>(&message)) {
        const auto passed = this->passedCallbacks.find(reply->id);
        if (passed != this->passedCallbacks.end()) {
            const auto callback = std::move(passed->second);
            this->passedCallbacks.erase(passed);
            callback(reply->result);
        }
        return;
    }
    auto &request = std::get<ClaimsRequest>(message);
    this->commitHere(request.bucketStoreKey,
                     std::move(request.operation),
                     Core::Clock::now() + CLAIM_PATIENCE,
                     [this, id = request.id, replyTo = request.replyTo](const Claims::OperationResult &result) {
                         this->peers.send(Coordination::Channel::Claims, replyTo, encodeClaimsMessage(ClaimsReply{id, result}));
                     });
}

std::string ClaimsRunner::ownerOf(const std::string &storeKey) const
{
    const auto &members = this->peers.state().members;
    std::vector<std::string> names;
    std::ranges::transform(Membership::aliveMembers(members), std::back_inserter(names), [](const Core::InstanceId &id) {
        return id.value;
    });
    const auto order = Core::rendezvousOrder(names, storeKey, 1);
    if (order.empty() || order.front() == members.self.value) {
        return {};
    }
    return members.members.at({order.front()}).update.address.value;
}

Claims::Settings ClaimsRunner::settingsFor(const std::string &storeKey) const
{
    // The window that the store holds counts, whatever this instance's own settings say: all instances must evict alike.
    auto settings = this->claimSettings;
    const auto found = std::ranges::find_if(this->layouts, [&storeKey](const auto &entry) {
        const auto last = Claims::bucketStoreKey(entry.first, 0);
        return storeKey.starts_with(std::string_view(last).substr(0, last.rfind('/') + 1));
    });
    if (found != this->layouts.end()) {
        settings.window = found->second.window;
    }
    return settings;
}

bool ClaimsRunner::isGone(const Core::InstanceId &instance) const
{
    const auto &members = this->peers.state().members;
    if (instance == members.self) {
        return false;
    }
    const auto *member = Membership::find(members, instance);
    if (member == nullptr) {
        return Core::Clock::now() - this->startedAt > YOUNG_AGE;
    }
    return member->update.state == Membership::MemberState::Gone;
}

} // namespace Briarbend::Daemon
