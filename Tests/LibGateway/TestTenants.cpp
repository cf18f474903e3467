#include <LibGateway/CallerFrontend.h>
#include <LibGateway/RoutingConfigurationMessage.h>
#include <Tests/LibGateway/RequestFlowTest.h>

#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;

std::shared_ptr<const Tenants::TenantTable> tableOf(const std::vector<std::pair<std::string, std::string>> &tenants)
{
    std::vector<Tenants::TenantKeys> definitions;
    std::ranges::transform(tenants, std::back_inserter(definitions), [](const auto &entry) {
        return Tenants::TenantKeys{.tenant = {.name = entry.first, .priority = {}}, .digests = {Tenants::digestOf(entry.second)}};
    });
    return std::make_shared<const Tenants::TenantTable>(Tenants::makeTable(std::move(definitions)));
}

/// A caller on one connection to an instance with one target, which records the requests that reach it.
class TenantsTest : public RequestFlowTest
{
protected:
    TenantsTest()
        : socket(this->context)
    {
        this->state.settings.instance.callerAddress = {.address = "127.0.0.1", .port = 0};
        this->state.settings.instance.maximumDescriptors = 100;
        this->addTarget("one", [this](const Network::Request &request) {
            this->received.push_back(request.base());
            return Reaction{};
        });
        this->configureRoute(RouteKind::Safe, 1);
        this->frontend = std::make_unique<CallerFrontend>(this->context, this->state);
        this->socket.connect(this->frontend->localEndpoint());
    }

    void TearDown() override
    {
        this->socket.close();
        this->frontend.reset();
        RequestFlowTest::TearDown();
    }

    void configure(std::shared_ptr<const Tenants::TenantTable> tenants, bool isPublic = false)
    {
        auto configuration = *this->state.routingConfiguration;
        ++configuration.version;
        configuration.tenants = std::move(tenants);
        configuration.routes.front().isPublic = isPublic;
        this->state.routingConfiguration = std::make_shared<const Fleet::RoutingConfiguration>(std::move(configuration));
    }

    /// Sends a request with further header lines on the caller's connection and returns the response.
    Network::Response ask(const std::string &fields, const std::string &path = "/x")
    {
        const std::string text = "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\n" + fields + "\r\n";
        Network::Response response;
        bool isDone = false;
        Asio::co_spawn(
            this->context,
            [&]() -> Asio::awaitable<void> {
                boost::beast::flat_buffer buffer;
                co_await Asio::async_write(this->socket, Asio::buffer(text), Asio::use_awaitable);
                co_await Http::async_read(this->socket, buffer, response, Asio::use_awaitable);
            },
            [&isDone](const std::exception_ptr &) {
                isDone = true;
            });
        this->context.restart();
        while (!isDone && this->context.run_one_for(3s) > 0) { }
        return response;
    }

    std::vector<Http::request_header<>> received;
    std::unique_ptr<CallerFrontend> frontend;
    Asio::ip::tcp::socket socket;
};

constexpr const char *ALPHA{"Authorization: Bearer key-of-alpha\r\n"};
constexpr const char *BETA{"Authorization: bearer  key-of-beta\r\n"};

} // namespace

// Guards against requests without a valid key that reach a target, and against a 401 that does not say what is asked for.
TEST_F(TenantsTest, missingOrUnknownKeyIsRefused)
{
    this->configure(tableOf({{"alpha", "key-of-alpha"}}));
    const std::string twice = std::string(ALPHA) + ALPHA;
    for (const std::string &fields : {std::string{}, std::string(BETA), std::string("Authorization: Basic key-of-alpha\r\n"), twice}) {
        const auto response = this->ask(fields);
        EXPECT_EQ(response.result_int(), 401U) << fields;
        EXPECT_EQ(response["WWW-Authenticate"], "Bearer") << fields;
        EXPECT_EQ(response["Request-Not-Run"], "?1") << fields;
    }
    EXPECT_TRUE(this->received.empty());
    EXPECT_EQ(this->state.counters.unauthenticated, 4U);
    EXPECT_EQ(this->ask("", "/x?y").result_int(), 401U);
    this->configure(tableOf({}));
    EXPECT_EQ(this->ask(ALPHA).result_int(), 401U) << "an empty table is not the same as none";
}

// Guards against 401 where the path has no route, which would tell callers that a key helps.
TEST_F(TenantsTest, missingRouteAndMissingConfigurationTakePrecedence)
{
    this->configure(tableOf({{"alpha", "key-of-alpha"}}));
    auto configuration = *this->state.routingConfiguration;
    configuration.routes.front().pathPrefix = "/other/";
    this->state.routingConfiguration = std::make_shared<const Fleet::RoutingConfiguration>(configuration);
    EXPECT_EQ(this->ask("").result_int(), 404U);
    this->state.routingConfiguration = nullptr;
    EXPECT_EQ(this->ask("").result_int(), 503U);
}

// Guards against a key or a tenant's name of the caller's choice that reaches a target.
TEST_F(TenantsTest, targetGetsTheTenantAndNeverTheKey)
{
    this->configure(tableOf({{"alpha", "key-of-alpha"}, {"beta", "key-of-beta"}}));
    EXPECT_EQ(this->ask(std::string(BETA) + "Tenant: alpha\r\nTenant: gamma\r\nConnection: Authorization, Tenant\r\n").result_int(), 200U);
    ASSERT_EQ(this->received.size(), 1U);
    EXPECT_EQ(this->received[0].count("Tenant"), 1U);
    EXPECT_EQ(this->received[0]["Tenant"], "beta");
    std::ostringstream head;
    head << this->received[0];
    EXPECT_EQ(head.str().find("key-of"), std::string::npos) << head.str();
}

TEST_F(TenantsTest, publicRouteNeedsNoKeyAndPassesNoneOn)
{
    this->configure(tableOf({{"alpha", "key-of-alpha"}}), true);
    EXPECT_EQ(this->ask(std::string(ALPHA) + "Tenant: alpha\r\nBriarbend-Forwarded-Key: key-of-alpha\r\n").result_int(), 200U);
    ASSERT_EQ(this->received.size(), 1U);
    for (const auto *field : {"Tenant", "Authorization", "Briarbend-Forwarded-Key"}) {
        EXPECT_EQ(this->received[0].count(field), 0U) << field;
    }
}

// Guards against a change for deployments without tenants, whose targets may read both fields.
TEST_F(TenantsTest, withoutTenantsBothFieldsPassUnchanged)
{
    EXPECT_EQ(this->ask(std::string(BETA) + "Tenant: gamma\r\n").result_int(), 200U);
    ASSERT_EQ(this->received.size(), 1U);
    EXPECT_EQ(this->received[0]["Authorization"], "bearer  key-of-beta");
    EXPECT_EQ(this->received[0]["Tenant"], "gamma");
}

// Guards against a connection that goes on with the keys of the configuration under which it was opened.
TEST_F(TenantsTest, addedAndRevokedKeysApplyToAnOpenConnection)
{
    this->configure(tableOf({{"alpha", "key-of-alpha"}}));
    EXPECT_EQ(this->ask(ALPHA).result_int(), 200U);
    EXPECT_EQ(this->ask(BETA).result_int(), 401U);
    this->configure(tableOf({{"alpha", "key-of-beta"}}));
    EXPECT_EQ(this->ask(ALPHA).result_int(), 401U);
    EXPECT_EQ(this->ask(BETA).result_int(), 200U);
}

// Guards against callers that pass as an instance which has checked the key already.
TEST_F(TenantsTest, forgedForwardingFieldsAreChecked)
{
    this->configure(tableOf({{"alpha", "key-of-alpha"}}));
    EXPECT_EQ(this->ask("Briarbend-Forwarded-By: front-2\r\n").result_int(), 401U);
    EXPECT_EQ(this->ask("Briarbend-Forwarded-By: front-2\r\nBriarbend-Forwarded-Key: wrong\r\nTenant: alpha\r\n").result_int(), 401U);
    EXPECT_TRUE(this->received.empty());
}

// Guards against a forwarded request that the peer refuses for want of the key, and against the key at the target behind the peer, also
// where the peer has an older configuration without tenants.
TEST_F(TenantsTest, forwardedRequestCarriesTheKeyToThePeerOnly)
{
    this->configure(tableOf({{"alpha", "key-of-alpha"}}));
    for (const bool isPeerBehind : {false, true}) {
        auto peerSettings = this->state.settings;
        peerSettings.instance.name = "front-2";
        GatewayState peer(this->context.get_executor(), peerSettings, Platform::wireDialect(), 3);
        auto configuration = *this->state.routingConfiguration;
        configuration.tenants = isPeerBehind ? nullptr : configuration.tenants;
        peer.routingConfiguration = std::make_shared<const Fleet::RoutingConfiguration>(configuration);
        peer.directory = this->state.directory;
        updateServiceStates(peer, Core::Clock::now());
        auto peerFrontend = std::make_unique<CallerFrontend>(this->context, peer);
        this->state.connectivity.cutOffSince = Core::Clock::now();
        this->state.findPeer = [&](const std::vector<std::string> &) -> Asio::awaitable<std::optional<Core::TargetId>> {
            co_return Core::TargetId{"127.0.0.1:" + std::to_string(peerFrontend->localEndpoint().port())};
        };
        EXPECT_EQ(this->ask(ALPHA).result_int(), 200U);
        EXPECT_EQ(peer.counters.takenForPeers, 1U);
        EXPECT_EQ(peer.counters.unauthenticated, 0U);
        ASSERT_FALSE(this->received.empty());
        EXPECT_EQ(this->received.back()["Tenant"], "alpha");
        std::ostringstream head;
        head << this->received.back();
        EXPECT_EQ(head.str().find("key-of"), std::string::npos) << head.str();
        peerFrontend->stopListening();
        this->state.pool.closeIdle(Core::Clock::now(), Core::Duration{0});
        peer.pool.closeIdle(Core::Clock::now(), Core::Duration{0});
        this->context.restart();
        this->context.run_for(50ms);
    }
}

// Guards against a limited tenant that still reaches the service, and against other tenants that are refused with it.
TEST_F(TenantsTest, requestsBeyondTheShareAreRefused)
{
    this->configure(tableOf({{"alpha", "key-of-alpha"}, {"beta", "key-of-beta"}}));
    Tenants::applyFractions(
        this->state.tenantShares, {{.service = SERVICE, .limited = {{.tenant = "alpha", .fraction = 0}}}}, Core::Clock::now());
    const auto response = this->ask(ALPHA);
    EXPECT_EQ(response.result_int(), 429U);
    EXPECT_EQ(response.count("Retry-After"), 1U);
    EXPECT_EQ(response["Request-Not-Run"], "?1");
    EXPECT_TRUE(this->received.empty());
    EXPECT_EQ(this->ask(BETA).result_int(), 200U);
    const auto &counts = this->state.tenantShares.counts.at(SERVICE);
    EXPECT_EQ(counts.byTenant.at("alpha"), 1);
    EXPECT_EQ(counts.byTenant.at("beta"), 1);
    EXPECT_EQ(counts.served, 1);
    EXPECT_EQ(counts.refused, 0) << "a refusal by share is no shortage";
}

// Guards against a shortage that is not noticed, so that nothing is shared.
TEST_F(TenantsTest, refusalForWantOfRoomCountsAsShortage)
{
    this->configure(tableOf({{"alpha", "key-of-alpha"}}));
    this->targets.front()->load = "6,9,6,100";
    EXPECT_EQ(this->ask(ALPHA).result_int(), 503U);
    EXPECT_EQ(this->state.tenantShares.counts.at(SERVICE).refused, 1);
    EXPECT_EQ(Tenants::takeDemand(this->state.tenantShares, Core::Clock::now()).size(), 1U);
}

// Guards against a key in a log line, on which the tenant's name must stand.
TEST_F(TenantsTest, logNamesTheTenantAndNotTheKey)
{
    this->state.settings.log.sampledRequests = 1;
    this->configure(tableOf({{"alpha", "key-of-alpha"}}));
    testing::internal::CaptureStdout();
    this->ask(ALPHA);
    this->ask(BETA);
    this->state.log.flush();
    const auto lines = testing::internal::GetCapturedStdout();
    EXPECT_NE(lines.find(R"("tenant":"alpha")"), std::string::npos) << lines;
    EXPECT_NE(lines.find(R"("key":"unknown")"), std::string::npos) << lines;
    EXPECT_EQ(lines.find("key-of"), std::string::npos) << lines;
}

// Guards against keys in messages, and against instances that authenticate differently after one.
TEST(RoutingConfigurationMessage, tenantsTravelAsDigests)
{
    Fleet::RoutingConfiguration configuration;
    configuration.version = 3;
    configuration.routes = {{.name = "route", .host = "a.example", .pathPrefix = "/", .services = {}, .isPublic = true}};
    configuration.tenants = std::make_shared<const Tenants::TenantTable>(Tenants::makeTable(
        {{.tenant = {.name = "alpha", .priority = 2}, .digests = {Tenants::digestOf("key-of-alpha"), Tenants::digestOf("other")}},
         {.tenant = {.name = "beta", .priority = {}}, .digests = {}}}));
    const auto bytes = nlohmann::json::to_cbor(encodeRoutingConfiguration(configuration));
    EXPECT_EQ(std::string(bytes.begin(), bytes.end()).find("key-of-alpha"), std::string::npos);
    const auto decoded = decodeRoutingConfiguration(nlohmann::json::from_cbor(bytes));
    ASSERT_TRUE(decoded.tenants);
    EXPECT_EQ(*decoded.tenants, *configuration.tenants);
    EXPECT_EQ(decoded.routes, configuration.routes);
    configuration.tenants = tableOf({});
    const auto empty = decodeRoutingConfiguration(encodeRoutingConfiguration(configuration));
    EXPECT_TRUE(empty.tenants && empty.tenants->tenants.empty()) << "an empty table is not the same as none";
}

// Guards against builds of either age that drop the configuration of the other.
TEST(RoutingConfigurationMessage, rowsOfTheOldLengthAreAccepted)
{
    Fleet::RoutingConfiguration configuration;
    configuration.routes = {{.name = "route", .host = "a.example", .pathPrefix = "/", .services = {}, .isPublic = true}};
    configuration.tenants = tableOf({{"alpha", "key-of-alpha"}});
    auto row = encodeRoutingConfiguration(configuration);
    ASSERT_EQ(row.size(), 5U) << "older builds read the first four values";
    ASSERT_EQ(row.at(1).at(0).size(), 10U) << "older builds read the first nine values";
    row.erase(4);
    row.at(1).at(0).erase(9);
    const auto decoded = decodeRoutingConfiguration(row);
    EXPECT_FALSE(decoded.tenants);
    EXPECT_FALSE(decoded.routes.at(0).isPublic);
    configuration.tenants = nullptr;
    EXPECT_EQ(encodeRoutingConfiguration(configuration).size(), 4U);
}

} // namespace Briarbend::Gateway
