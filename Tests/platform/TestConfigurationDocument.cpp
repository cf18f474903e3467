#include <platform/ConfigurationDocument.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Briarbend::Platform
{

namespace
{

constexpr std::string_view DOCUMENT{
    R"({"version":7,"routes":{"r-1":{"host":"A.example","pathPrefix":"/","kind":"idempotent","service":"s"}},"services":{"s":{}},)"
    R"("tenants":{"t":{"apiKeys":["secret"],"priority":2}}})"};

struct UnreadableDocument {
    std::string pointer;
    nlohmann::json value;
    std::string entry;
    std::string field;
};

} // namespace

TEST(ConfigurationDocument, decodesTheObjectAndItsSpecificationAlone)
{
    for (const auto &text : {std::string(DOCUMENT), R"({"metadata":{"name":"main"},"spec":)" + std::string(DOCUMENT) + "}"}) {
        const auto decoded = decodeConfigurationDocument(text);
        EXPECT_TRUE(decoded.problems.empty());
        EXPECT_EQ(decoded.document.configuration.version, 7U);
        EXPECT_EQ(decoded.document.configuration.routes.at(0).host, "a.example");
        ASSERT_TRUE(decoded.document.tenants);
        EXPECT_EQ(decoded.document.tenants->at(0).keys, std::vector<std::string>{"secret"});
        EXPECT_EQ(decoded.document.tenants->at(0).priority, 2U);
    }
}

// A problem without its entry and field has to be searched for in a document of hundreds of routes.
TEST(ConfigurationDocument, problemsNameTheEntryAndTheField)
{
    const std::vector<UnreadableDocument> unreadable{
        {"/version", "seven", "", "version"},
        {"/routes/r-1/host", 7, "r-1", "host"},
        {"/routes/r-1/kind", nullptr, "r-1", "kind"},
        {"/routes/r-1/timeoutS", "soon", "r-1", "timeoutS"},
        {"/routes/r-1/trafficSplit", nlohmann::json::parse(R"([{"service":"s"}])"), "r-1", "trafficSplit"},
        {"/services/s/coldPerS", "few", "s", "coldPerS"},
        {"/limits/idleTimeoutS", "long", "", "idleTimeoutS"},
        {"/routes", 7, "", "routes"},
        {"/tenants", nlohmann::json::array(), "", "tenants"},
        {"/tenants/t/apiKeys", "secret", "t", ""}};
    for (const auto &document : unreadable) {
        auto json = nlohmann::json::parse(DOCUMENT);
        json[nlohmann::json::json_pointer(document.pointer)] = document.value;
        const auto decoded = decodeConfigurationDocument(json.dump());
        ASSERT_EQ(decoded.problems.size(), 1U) << document.pointer;
        EXPECT_EQ(decoded.problems[0].entry.name, document.entry) << document.pointer;
        EXPECT_EQ(decoded.problems[0].field, document.field) << document.pointer;
        EXPECT_EQ(decoded.problems[0].text.find("json.exception"), std::string::npos);
    }
}

// The decoder keeps the last entry of a name without a word; a message that quotes the document shows keys.
TEST(ConfigurationDocument, repeatedNamesAndMalformedTextAreProblemsWithoutSecrets)
{
    const auto repeated = decodeConfigurationDocument(
        R"({"version":1,"routes":{"a":{"host":"x","host":"y"},"b":{},"b":{}},"services":{},"tenants":{"t":{"apiKeys":[]},"t":{}}})");
    ASSERT_EQ(repeated.problems.size(), 3U);
    EXPECT_EQ(repeated.problems[0].entry, (Fleet::ConfigurationEntry{Fleet::EntryKind::Route, "a"}));
    EXPECT_EQ(repeated.problems[0].field, "host");
    EXPECT_EQ(repeated.problems[2].entry, (Fleet::ConfigurationEntry{Fleet::EntryKind::Tenant, "t"}));
    for (const auto *text : {R"({"tenants":{"t":{"apiKeys":["secret)", R"({"apiKeys":["secret" "secret"]})", "", "7", "[]", "null"}) {
        const auto decoded = decodeConfigurationDocument(text);
        ASSERT_FALSE(decoded.problems.empty()) << text;
        EXPECT_EQ(decoded.problems[0].text.find("secret"), std::string::npos) << decoded.problems[0].text;
    }
}

} // namespace Briarbend::Platform
