#pragma once

#include <LibGateway/RequestFlow.h>
#include <Tests/LibGateway/FakeTarget.h>
#include <platform/WireDialect.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

namespace Briarbend::Gateway
{

using namespace std::chrono_literals;
using Configuration::RouteKind;

inline const Core::ServiceName SERVICE{"benches"};

/// Runs requests through a flow to targets on the loopback interface.
class RequestFlowTest : public testing::Test
{
protected:
    RequestFlowTest()
        : state(this->context.get_executor(), settings(), Platform::wireDialect(), 17)
    {
    }

    // Suspended coroutines hold connections of the pool, so their frames must be destroyed before the state, and sockets before the
    // context.
    void TearDown() override
    {
        this->state.pool.closeIdle(Core::Clock::now(), Core::Duration{0});
        this->targets.clear();
        this->ownedContext.reset();
    }

    static Settings::GatewaySettings settings()
    {
        Settings::GatewaySettings settings;
        settings.instance.name = "front-1";
        settings.instance.dataCentre = {"here"};
        settings.budgets.extraSendShare = 10;
        return settings;
    }

    FakeTarget &addTarget(const std::string &name, FakeTarget::React react)
    {
        this->targets.push_back(std::make_unique<FakeTarget>(this->context, name, std::move(react)));
        Fleet::TargetRecord record{.name = name,
                                   .startedAtMilliseconds = 1,
                                   .address = {this->targets.back()->address()},
                                   .service = SERVICE,
                                   .dataCentre = {"here"},
                                   .version = {"v1"},
                                   .slots = 6,
                                   .isLeaving = false,
                                   .coldLeft = 0ms};
        Fleet::applyRecord(this->state.directory, record);
        return *this->targets.back();
    }

    void configureRoute(RouteKind kind, std::uint32_t maximumSends = 2, std::chrono::milliseconds timeout = 1s)
    {
        Fleet::RoutingConfiguration configuration;
        configuration.version = 1;
        configuration.services[SERVICE] = {.healthPath = "/healthz", .connectionsPerTarget = 100, .coldRequestsPerSecond = 1};
        configuration.routes = {{.name = "route",
                                 .host = "a.example",
                                 .pathPrefix = "/",
                                 .kind = kind,
                                 .timeout = timeout,
                                 .objective = 300ms,
                                 .maximumSends = maximumSends,
                                 .priority = 0,
                                 .services = {{SERVICE, 1}}}};
        this->state.routingConfiguration = std::make_shared<const Fleet::RoutingConfiguration>(configuration);
        updateServiceStates(this->state, Core::Clock::now());
        this->state.routes["route"];
    }

    std::shared_ptr<RequestContext> makeContext(const std::string &attemptId, std::chrono::milliseconds allowed = 1s)
    {
        auto request = std::make_shared<RequestContext>(this->state);
        request->attemptId = attemptId;
        request->head.method(Http::verb::get);
        request->head.target("/x/" + attemptId);
        request->head.version(11);
        request->head.set(Http::field::host, "a.example");
        request->head.set("Attempt-Id", attemptId);
        request->route = &request->configuration->routes.front();
        request->service = this->state.services.at(SERVICE);
        request->allowed = allowed;
        return request;
    }

    FlowResult run(const std::string &attemptId, std::chrono::milliseconds allowed = 1s)
    {
        return this->run(this->makeContext(attemptId, allowed));
    }

    FlowResult run(const std::shared_ptr<RequestContext> &request)
    {
        RequestFlow flow(request);
        std::optional<FlowResult> result;
        boost::asio::co_spawn(this->context, flow.run(), [&result](const std::exception_ptr &, FlowResult flowResult) {
            result = std::move(flowResult);
        });
        this->context.restart();
        while (!result && this->context.run_one_for(3s) > 0) { }
        return std::move(result).value_or(FlowResult{});
    }

    std::shared_ptr<Fleet::ServiceState> service() const
    {
        return this->state.services.at(SERVICE);
    }

    std::size_t runsOf(const std::string &attemptId) const
    {
        std::size_t count = 0;
        for (const auto &target : this->targets) {
            count += static_cast<std::size_t>(std::ranges::count(target->runs(), attemptId));
        }
        return count;
    }

    std::unique_ptr<boost::asio::io_context> ownedContext{std::make_unique<boost::asio::io_context>()};
    boost::asio::io_context &context{*this->ownedContext};
    GatewayState state;
    std::vector<std::unique_ptr<FakeTarget>> targets;
};

} // namespace Briarbend::Gateway
