#include <LibCore/BoundedJson.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Briarbend::Core
{

namespace
{

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

// LOST: a value nested 120,000 levels deep ended the process that copied or decoded it.
TEST(BoundedJson, deeplyNestedValuesAreRejected)
{
    EXPECT_NO_THROW(parseJson(nested(MAXIMUM_DEPTH)));
    EXPECT_THROW(parseJson(nested(MAXIMUM_DEPTH + 1)), std::exception);
    EXPECT_THROW(parseJson(nested(500'000)), std::exception);
    EXPECT_THROW(parseJson(std::string(500'000, '[')), std::exception);
    std::string objects;
    for (int level = 0; level < 120'000; ++level) {
        objects += R"({"a":)";
    }
    EXPECT_THROW(parseJson(objects), std::exception);
}

// LOST: a peer's message of 0x81 bytes alone ended the process.
TEST(BoundedJson, deeplyNestedCborIsRejected)
{
    EXPECT_EQ(parseCbor(std::string("\x81\x07")), nlohmann::json::array({7}));
    EXPECT_THROW(parseCbor(std::string(1'000'000, '\x81')), std::exception);
    EXPECT_THROW(parseCbor(std::string(1'000'000, '\x9f')), std::exception);
    EXPECT_THROW(parseCbor(std::string(1'000'000, '\xa1')), std::exception);
    EXPECT_THROW(parseCbor(""), std::exception);
}

TEST(BoundedJson, malformedTextIsRejected)
{
    for (const std::string text : {"", "{", "[1,]", "1e999", "\xff", "{}x", R"({"a":"\ud800"})"}) {
        EXPECT_THROW(parseJson(text), std::exception) << text;
    }
    EXPECT_EQ(parseJson(R"({"a":[1,2.5,null,true,"x"]})")["a"].size(), 5U);
}

TEST(BoundedJson, membersAndElementsAreFoundWithoutReadingThem)
{
    const std::string text = R"( {"odd" : 1e999, "deep":)" + nested(120'000) + R"(, "list":[ {"a":"]},\"[" } ,2, "x,y" ],"empty":[ ]} )";
    EXPECT_EQ(findMember(text, "odd"), "1e999");
    EXPECT_EQ(findMember(text, "none"), std::nullopt);
    EXPECT_EQ(splitElements(*findMember(text, "list")), (std::vector<std::string_view>{R"({"a":"]},\"[" })", "2", R"("x,y")"}));
    EXPECT_TRUE(splitElements(*findMember(text, "empty")).empty());
    for (const std::string malformed : {"", "[]", "{", R"({"a})", R"({"a":1)", R"({"a"})", R"({a:1})", R"({"a":1}})", R"({"a":1]})"}) {
        EXPECT_THROW(findMember(malformed, "a"), std::exception) << malformed;
    }
    for (const std::string malformed : {"", "{}", "[", "[1", "[[1]", R"(["])"}) {
        EXPECT_THROW(splitElements(malformed), std::exception) << malformed;
    }
}

} // namespace Briarbend::Core
