#include <LibSettings/EndpointType.h>
#include <LibSettings/SettingsKeys.h>

namespace Briarbend::Settings
{

namespace
{

using namespace std::chrono_literals;
using Document::durationType;
using Document::integerType;
using Document::key;
using Document::Presence;
using Milliseconds = std::chrono::milliseconds;

Document::ValueType<std::string> logLevelType()
{
    return Document::choiceType<std::string>(
        {{"trace", "trace"}, {"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "error"}});
}

} // namespace

Document::KeyTable<InstanceSettings> instanceKeys()
{
    using I = InstanceSettings;
    return {
        key("name", &I::name, Document::textType(), "Shown in logs and dumps; the instance's identifier where absent."),
        key("data_centre",
            &I::dataCentre,
            Document::nameType<Core::DataCentreName>(),
            "The data centre that this instance runs in.",
            Presence::Required),
        key("caller_address", &I::callerAddress, listenerType(), "Where callers connect.", Presence::Required),
        key("peer_address", &I::peerAddress, listenerType(), "Where the other instances connect.", Presence::Required),
        key("operator_address",
            &I::operatorAddress,
            listenerType(),
            "Where operators read `/health/ready`, `/health/live`, `/dump` and `/metrics`.",
            Presence::Required),
        key("advertised_peer_address",
            &I::advertisedPeerAddress,
            remoteType(),
            "What peers are told to connect to; `peer_address` where absent. Needed where `peer_address` is a wildcard."),
        key("declared_maximum_instances",
            &I::declaredMaximumInstances,
            integerType<std::uint32_t>(1, 1024, "instances"),
            "The most instances that ever run at once, those being replaced counted. Budgets of targets are divided by it. The same for "
            "all "
            "instances."),
        key("log_level", &I::logLevel, logLevelType(), "The least severe log lines that are written, to standard error."),
    };
}

Document::KeyTable<StoreSettings> storeKeys()
{
    using S = StoreSettings;
    return {
        key("endpoints", &S::endpoints, Document::listType(remoteType(), 1), "Addresses of the store, tried in order.", Presence::Required),
        key("timeout", &S::timeout, durationType<Milliseconds>(10ms, 1min), "Bounds connecting to the store and each of its answers."),
        key("instance_list_interval",
            &S::instanceListInterval,
            durationType<Milliseconds>(50ms, 1min),
            "How often the platform's list of instances is read."),
    };
}

Document::KeyTable<PeerSettings> peerKeys()
{
    using P = PeerSettings;
    return {
        key("seeds",
            &P::seeds,
            Document::listType(remoteType(), 0),
            "Peer addresses that are known besides those in the platform's list, for a start while the store is down."),
    };
}

Document::KeyTable<LimitSettings> limitKeys()
{
    using L = LimitSettings;
    return {
        key("maximum_caller_connections",
            &L::maximumCallerConnections,
            integerType<std::uint32_t>(1, 1000000, "connections"),
            "Open connections of callers; more are closed at once."),
        key("maximum_header_bytes",
            &L::maximumHeaderBytes,
            integerType<std::uint32_t>(1024, 1048576, "bytes"),
            "Longest head of a request; a longer one gets a 431."),
        key("maximum_request_body_bytes",
            &L::maximumRequestBodyBytes,
            integerType<std::uint64_t>(0, 1ULL << 40U, "bytes"),
            "Longest body of a request; a longer one gets a 413. Bodies are streamed, so this costs no memory."),
        key("idle_timeout",
            &L::idleTimeout,
            durationType<Milliseconds>(100ms, 1h),
            "How long a caller's connection may be without a request, and a request's head or body without progress."),
        key("stop_grace",
            &L::stopGrace,
            durationType<Milliseconds>(0ms, 10min),
            "How long listeners stay after `/health/ready` goes false, so that the balancer can move on. At least twice the balancer's "
            "check "
            "interval."),
        key("stop_deadline",
            &L::stopDeadline,
            durationType<Milliseconds>(1s, 24h),
            "How long requests in flight may take after the grace before the process ends without them. Longer than the longest download."),
    };
}

Document::KeyTable<ClaimSettings> claimKeys()
{
    using C = ClaimSettings;
    return {
        key("buckets",
            &C::buckets,
            integerType<std::uint32_t>(1, 65536, "objects"),
            "Store objects that claims are spread over. The same for all instances, and changed only while no `once` request is repeated."),
        key("window",
            &C::window,
            durationType<Milliseconds>(1s, 24h),
            "How long the outcome of a `once` request is kept for repeats of it."),
        key("batch_delay",
            &C::batchDelay,
            durationType<std::chrono::microseconds>(0us, 1s),
            "How long claims are collected for one conditional update of the store."),
    };
}

Document::ValueType<std::chrono::microseconds> distanceType()
{
    return durationType<std::chrono::microseconds>(0us, 10s);
}

} // namespace Briarbend::Settings
