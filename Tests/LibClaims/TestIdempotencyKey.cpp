#include <LibClaims/Digest.h>
#include <LibClaims/IdempotencyKey.h>

#include <gtest/gtest.h>

namespace Briarbend::Claims
{

TEST(IdempotencyKey, quotedAndBareFormsNameTheSameKey)
{
    EXPECT_EQ(parseIdempotencyKey({"\"lot-7\""}), "lot-7");
    EXPECT_EQ(parseIdempotencyKey({" lot-7 "}), "lot-7");
    EXPECT_EQ(parseIdempotencyKey({R"("a\"b")"}), "a\"b");
}

TEST(IdempotencyKey, rejectsMissingRepeatedAndMalformedValues)
{
    EXPECT_FALSE(parseIdempotencyKey({}));
    EXPECT_FALSE(parseIdempotencyKey({"a", "a"}));
    for (const auto *value : {"", "  ", "\"\"", "\"open", "\"a\"b", "\"a\\", "tab\tinside"}) {
        EXPECT_FALSE(parseIdempotencyKey({value})) << value;
    }
    EXPECT_FALSE(parseIdempotencyKey({std::string(MAXIMUM_IDEMPOTENCY_KEY_BYTES + 1, 'k')}));
}

TEST(Digest, movingBytesBetweenPartsChangesTheDigest)
{
    EXPECT_NE(requestDigest("POST", "/a", "b"), requestDigest("POST", "/ab", ""));
    EXPECT_EQ(toHexadecimal(requestDigest("POST", "/a", "b")), toHexadecimal(requestDigest("POST", "/a", "b")));
    EXPECT_NE(keyDigest("ledger", "/dispatch", "k"), keyDigest("ledger", "/dispatc", "hk"));
}

} // namespace Briarbend::Claims
