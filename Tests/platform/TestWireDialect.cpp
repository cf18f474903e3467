#include <platform/WireDialect.h>

#include <gtest/gtest.h>

namespace Briarbend::Platform
{

namespace
{

using namespace std::chrono_literals;
namespace Http = boost::beast::http;

} // namespace

TEST(WireDialect, readTargetParsesLoadWithAndWithoutSlowness)
{
    const auto dialect = wireDialect();
    Http::response_header<> head;
    head.set("Server-Load", "3,1,6,500");
    EXPECT_EQ(dialect.readResponseMetadata(head).load, (Fleet::LoadReport{.running = 3, .waiting = 1, .slots = 6, .slowness = 5}));
    head.set("Server-Load", "3, 0, 8");
    EXPECT_EQ(dialect.readResponseMetadata(head).load, (Fleet::LoadReport{.running = 3, .waiting = 0, .slots = 8, .slowness = 1}));
    for (const auto *invalid : {"", "3", "3,1", "a,b,c", "-1,0,6", "99999999999,0,6"}) {
        head.set("Server-Load", invalid);
        EXPECT_FALSE(dialect.readResponseMetadata(head).load.has_value()) << invalid;
    }
}

// Guards against a key that is read from a field of another scheme, or not read for the spelling of the scheme.
TEST(WireDialect, tenantKeyIsReadFromBearerFieldsOnly)
{
    const auto dialect = wireDialect();
    Http::request_header<> head;
    for (const auto *value : {"Bearer k1", "bearer k1", "BEARER   k1"}) {
        head.set(Http::field::authorization, value);
        EXPECT_EQ(dialect.readRequestMetadata(head).tenantKey, "k1") << value;
    }
    for (const auto *value : {"", "Bearer", "Bearer ", "Basic k1", "k1", "Bearerk1"}) {
        head.set(Http::field::authorization, value);
        EXPECT_EQ(dialect.readRequestMetadata(head).tenantKey, "") << value;
    }
}

TEST(WireDialect, readTargetDetectsNotRunAndMisdirectedResponses)
{
    const auto dialect = wireDialect();
    Http::response_header<> head;
    head.result(Http::status::service_unavailable);
    head.set("Not-Executed", "1");
    EXPECT_TRUE(dialect.readResponseMetadata(head).isNotRun);
    EXPECT_FALSE(dialect.readResponseMetadata(head).hasResponseStamp);
    head.result(Http::status::misdirected_request);
    EXPECT_TRUE(dialect.readResponseMetadata(head).isMisdirected);
    head.set("Cold-Remaining-Ms", "1250");
    EXPECT_EQ(dialect.readResponseMetadata(head).coldLeft, 1250ms);
}

TEST(WireDialect, readTargetParsesLeavingFlag)
{
    const auto dialect = wireDialect();
    Http::response_header<> head;
    EXPECT_FALSE(dialect.readResponseMetadata(head).isLeaving);
    head.set("Server-Leaving", "1");
    EXPECT_TRUE(dialect.readResponseMetadata(head).isLeaving);
    for (const auto *other : {"", "0", "yes", "11"}) {
        head.set("Server-Leaving", other);
        EXPECT_FALSE(dialect.readResponseMetadata(head).isLeaving) << other;
    }
}

TEST(WireDialect, readTargetParsesRetryAfterOfStatus503)
{
    const auto dialect = wireDialect();
    Http::response_header<> head;
    head.result(Http::status::service_unavailable);
    EXPECT_FALSE(dialect.readResponseMetadata(head).quietFor.has_value()) << "no time is stated";
    const auto quiet = [&](const char *text) {
        head.set(Http::field::retry_after, text);
        return dialect.readResponseMetadata(head).quietFor;
    };
    EXPECT_EQ(quiet("3"), 3s);
    EXPECT_EQ(quiet("0.25"), 250ms);
    EXPECT_EQ(quiet("0.0001"), 1ms) << "never shorter than asked for";
    EXPECT_EQ(quiet("99999999999999999999"), 1h);
    for (const auto *unreadable : {"", "0", "-1", "soon", "3 s", "nan", "inf", "Fri, 04 Dec 2026 12:00:00 GMT"}) {
        EXPECT_FALSE(quiet(unreadable).has_value()) << unreadable;
    }
    head.result(Http::status::too_many_requests);
    EXPECT_FALSE(quiet("3").has_value()) << "only 503 asks for quiet";
}

TEST(WireDialect, readTargetParsesLimit)
{
    const std::string manyDigits(400, '9');
    const std::vector<std::pair<std::string, std::optional<double>>> cases{
        {"3", 3.0},
        {"2.8", 2.8},
        {"0.25", 0.25},
        {"0", 0.0},
        {"0.0", 0.0},
        {"1000000", 1e6},
        {"1000001", 1e6},
        {manyDigits, 1e6},
        {"0." + std::string(400, '0') + "1", 0.0},
        {"-1", std::nullopt},
        {"-0", std::nullopt},
        {"", std::nullopt},
        {"many", std::nullopt},
        {"nan", std::nullopt},
        {"inf", std::nullopt},
        {"1e3", std::nullopt},
        {"2,5", std::nullopt},
        {"2.5/s", std::nullopt},
    };
    for (const auto &[text, perSecond] : cases) {
        Gateway::Http::response_header<> head;
        head.set("Server-Limit", text);
        const auto metadata = wireDialect().readResponseMetadata(head);
        EXPECT_TRUE(metadata.statesRate) << text;
        EXPECT_EQ(metadata.requestsPerSecond, perSecond) << text;
    }
    const auto absent = wireDialect().readResponseMetadata(Gateway::Http::response_header<>());
    EXPECT_FALSE(absent.statesRate);
    EXPECT_FALSE(absent.requestsPerSecond.has_value());
}

TEST(WireDialect, requestIsAddressedAndInternalFieldsAreRemoved)
{
    const auto dialect = wireDialect();
    Http::fields head;
    head.set("Deadline-Remaining", "4000");
    dialect.setTargetFields(head, 1990ms, "i-7f3a91c2");
    EXPECT_EQ(head["Deadline-Remaining"], "1990");
    EXPECT_EQ(head["Expect-Instance"], "i-7f3a91c2");
    Http::fields response;
    response.set("Server-Load", "1,0,6");
    response.set("Response-Stamp", "s");
    dialect.removeInternalFields(response);
    EXPECT_EQ(response.count("Server-Load"), 0U);
    EXPECT_EQ(response["Response-Stamp"], "s");
    dialect.setRetryAfter(response, 150ms);
    EXPECT_EQ(response["Retry-After"], "0.150");
}

TEST(WireDialect, readCallerParsesRemainingDeadline)
{
    const auto dialect = wireDialect();
    Http::fields head;
    head.set("Deadline-Remaining", "4000.5");
    head.set("Attempt-Id", "a1");
    EXPECT_EQ(dialect.readRequestMetadata(head).remaining, 4000ms);
    EXPECT_EQ(dialect.readRequestMetadata(head).attemptId, "a1");
    head.set("Deadline-Remaining", "soon");
    EXPECT_FALSE(dialect.readRequestMetadata(head).remaining.has_value());
}

} // namespace Briarbend::Platform
