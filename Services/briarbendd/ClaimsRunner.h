#pragma once

#include <LibCoordination/PeerLink.h>

#include <LibClaims/BucketCommitter.h>
#include <LibClaims/BucketLayout.h>
#include <LibRelay/ClaimSubmitter.h>
#include <LibStore/ObjectStore.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

namespace Briarbend::Daemon
{

/// Runs the committers of claim buckets against the store, and passes operations between instances to the owner of their bucket.
class ClaimsRunner final : public Relay::ClaimSubmitter
{
public:
    ClaimsRunner(boost::asio::io_context &context,
                 Store::ObjectStore &store,
                 Coordination::PeerLink &peers,
                 Claims::Settings settings,
                 Claims::BucketLayout ownLayout);

    const Claims::Settings &settings() const override;
    void submit(const Core::ServiceName &service, const Claims::SubmitOperation &operation, ResultCallback callback) override;
    /// Learns where the service's claims are kept, before the first request needs it.
    void prepare(const Core::ServiceName &service);
    /// True where no operation waits to be stored.
    bool isIdle() const;
    std::uint64_t storeCalls() const;

private:
    struct Commitment {
        Commitment(boost::asio::io_context &context, Claims::BucketCommitter bucketCommitter, std::string key)
            : committer(std::move(bucketCommitter))
            , timer(context)
            , storeKey(std::move(key))
        {
        }

        Claims::BucketCommitter committer;
        boost::asio::steady_timer timer;
        std::string storeKey;
    };
    using FinishedCallback = std::function<void(const Claims::OperationResult &)>;

    boost::asio::awaitable<void> learnLayout(Core::ServiceName service);
    void submitToBucket(const std::string &storeKey, const Claims::SubmitOperation &operation, FinishedCallback callback);
    void passToOwner(const std::string &owner, const std::string &storeKey, const Claims::Operation &operation, FinishedCallback callback);
    void commitHere(const std::string &storeKey, Claims::Operation operation, Core::TimePoint giveUpAt, FinishedCallback callback);
    /// Commits an outcome here unless its owner confirms it in time.
    void watchOutcome(std::uint64_t id, const std::string &storeKey, const Claims::Operation &operation);
    void carryOut(const std::shared_ptr<Commitment> &commitment, Claims::CommitterStep step);
    boost::asio::awaitable<void> callStore(std::shared_ptr<Commitment> commitment, Claims::StoreRequest request);
    void armTimer(const std::shared_ptr<Commitment> &commitment, Core::TimePoint wakeAt);
    void receive(const std::string &peer, std::string_view bytes);
    Claims::Settings settingsFor(const std::string &storeKey) const;
    std::string ownerOf(const std::string &storeKey) const;
    bool isGone(const Core::InstanceId &instance) const;

    boost::asio::io_context &context;
    Store::ObjectStore &store;
    Coordination::PeerLink &peers;
    Claims::Settings claimSettings;
    Claims::BucketLayout ownLayout;
    Core::TimePoint startedAt;
    std::map<Core::ServiceName, Claims::BucketLayout> layouts;
    std::set<Core::ServiceName> layoutsSought;
    std::unordered_map<std::string, std::shared_ptr<Commitment>> commitments;
    std::unordered_map<std::uint64_t, FinishedCallback> localCallbacks;
    std::unordered_map<std::uint64_t, FinishedCallback> passedCallbacks;
    std::uint64_t nextId{1};
    std::uint64_t calls{0};
};

} // namespace Briarbend::Daemon
