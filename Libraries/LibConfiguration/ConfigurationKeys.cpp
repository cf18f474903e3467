#include <LibConfiguration/ConfigurationKeys.h>

#include <LibDocument/Reference.h>

namespace Briarbend::Configuration
{

namespace
{

using namespace std::chrono_literals;
using Document::choiceType;
using Document::integerType;
using Document::key;
using Document::Presence;

constexpr double MAXIMUM_TRIAL_SHARE{0.02};
constexpr std::size_t MAXIMUM_VERSION_LENGTH{63};

constexpr std::string_view PAGE_HEAD{R"(# The configuration document

Operators write one long TOML document in which each team owns its own section, `[team.<team>]`. `briarctl check FILE` checks it,
`briarctl apply --team <team> FILE` puts one team's section into force and leaves those of the other teams alone, `briarctl show` prints what
the store holds. Every key is checked and all problems are reported together, each with file, line, key, what was found and what is allowed.
Unknown keys are problems too. `docs/examples/sfax.toml` and `docs/examples/klang.toml` are whole documents to start from.

`briarctl configuration-reference` writes this page from the table that reads the keys. Names of teams, services and data centres have 1 to 63
characters from a-z, 0-9 and -. Durations are texts of a whole number and a unit: `"1500us"`, `"250ms"`, `"2s"`, `"5min"`, `"1h"`.

A section is accepted when the store has it and is then in force on all instances within seconds, whether the store stays up or not. What is
checked besides the single keys:

- A path stands once, and a service belongs to one team, in the whole document.
- A service has at least one route, and a target's `cold_requests` are at most its `slots`.
- A rollout names a service of its own section, goes from one version to another, and ends after it starts.
)"};

/// Versions come from the platform's list, so that dots, capitals and underscores have to be taken too.
Document::ValueType<Core::VersionName> versionType()
{
    constexpr std::string_view ALLOWED{"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._+-"};
    auto type = Document::nameType<Core::VersionName>();
    type.allowed = "a version of 1 to 63 characters from A-Z, a-z, 0-9 and ._+-";
    type.read = [ALLOWED](const toml::node &node) -> std::optional<Core::VersionName> {
        const auto text = node.value_exact<std::string>().value_or("");
        const bool isVersion
            = !text.empty() && text.size() <= MAXIMUM_VERSION_LENGTH && text.find_first_not_of(ALLOWED) == std::string::npos;
        return isVersion ? std::optional(Core::VersionName{text}) : std::nullopt;
    };
    return type;
}

} // namespace

Document::KeyTable<Service> serviceKeys()
{
    const auto policies = choiceType<RoutingPolicy>({{"probe-pool", RoutingPolicy::ProbePool},
                                                     {"round-robin", RoutingPolicy::RoundRobin},
                                                     {"random-two-choices", RoutingPolicy::RandomTwoChoices},
                                                     {"least-in-flight", RoutingPolicy::LeastInFlight}});
    return {
        key("policy", &Service::policy, policies, "How a target is chosen among those allowed."),
        key("probe_path",
            &Service::probePath,
            Document::pathType(),
            "The path on which a target answers its load without running a request."),
    };
}

Document::KeyTable<TargetLimits> limitKeys()
{
    using T = TargetLimits;
    return {
        key("slots", &T::slots, integerType<std::uint32_t>(1, 10000, "requests"), "Requests that a target runs at once."),
        key("connections",
            &T::connections,
            integerType<std::uint32_t>(1, 100000, "connections"),
            "Connections that all instances together may open to a target."),
        key("probes_per_second",
            &T::probesPerSecond,
            integerType<std::uint32_t>(0, 10000, "probes"),
            "Probes that all instances together may send to a target in any window of one second."),
        key("cold_requests",
            &T::coldRequests,
            integerType<std::uint32_t>(1, 10000, "requests"),
            "Requests that all instances together may have in flight to a target while it is cold."),
        key("warm_after_requests",
            &T::warmAfterRequests,
            integerType<std::uint32_t>(1, 1000000, "requests"),
            "Completed requests after which one start of a target counts as warm."),
    };
}

Document::KeyTable<Route> routeKeys()
{
    const auto kinds = choiceType<RouteKind>({{"safe", RouteKind::Safe}, {"idempotent", RouteKind::Idempotent}, {"once", RouteKind::Once}});
    const auto classes = choiceType<TrafficClass>({{"interactive", TrafficClass::Interactive}, {"bulk", TrafficClass::Bulk}});
    return {
        key("path",
            &Route::pathPrefix,
            Document::pathType(),
            "Requests whose path begins with this belong to the route; the longest one wins.",
            Presence::Required),
        key("kind",
            &Route::kind,
            kinds,
            "`safe` changes nothing and may be retried and hedged; `idempotent` may run again with the same effect and may be retried; "
            "`once` "
            "runs at most once and needs an `Idempotency-Key`.",
            Presence::Required),
        key("class",
            &Route::trafficClass,
            classes,
            "The share of capacity that requests compete for when targets are full: `bulk` gives way to `interactive`."),
        key("deadline",
            &Route::deadline,
            Document::durationType<std::chrono::milliseconds>(1ms, 1h),
            "Time from a request's arrival to the last chance of the head of its answer."),
    };
}

Document::ValueType<DataCentreState> dataCentreStateType()
{
    return choiceType<DataCentreState>({{"in", DataCentreState::In}, {"out", DataCentreState::Out}});
}

Document::KeyTable<DataCentre> dataCentreKeys()
{
    return {
        key("state",
            &DataCentre::state,
            dataCentreStateType(),
            "`out` ends new work in the data centre; requests in flight finish. One team that says `out` suffices.",
            Presence::Required),
    };
}

Document::KeyTable<Rollout> rolloutKeys()
{
    return {
        key("from", &Rollout::from, versionType(), "The version that carries the traffic now.", Presence::Required),
        key("to", &Rollout::to, versionType(), "The version that is to carry it.", Presence::Required),
        key("start", &Rollout::start, Document::timeType(), "When the first requests go to the new version.", Presence::Required),
        key("finish_by",
            &Rollout::finishBy,
            Document::timeType(),
            "When a good version carries all traffic at the latest.",
            Presence::Required),
        key("trial_share",
            &Rollout::trialShare,
            Document::shareType(0, MAXIMUM_TRIAL_SHARE),
            "The largest share of the service's requests that goes to the new version before the evidence suffices."),
    };
}

std::string configurationReference()
{
    return std::string(PAGE_HEAD)
        + Document::formatReference({
            Document::describeTable("[team.<team>.service.<service>]", "One service, as the platform's list names it.", serviceKeys()),
            Document::describeTable("[team.<team>.service.<service>.limits]",
                                    "What one target of the service bears, summed over all instances. The whole table may be absent.",
                                    limitKeys()),
            Document::describeTable("[[team.<team>.service.<service>.route]]", "One route of the service; as many as it has.", routeKeys()),
            Document::describeTable("[team.<team>.data_centre.<data centre>]",
                                    "Whether a data centre takes new work. `briarctl drain` and `briarctl undrain` edit this key alone.",
                                    dataCentreKeys()),
            Document::describeTable(
                "[team.<team>.rollout.<service>]", "A move of a service's traffic from one version to another.", rolloutKeys()),
        });
}

} // namespace Briarbend::Configuration
