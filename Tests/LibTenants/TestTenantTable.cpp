#include <LibTenants/TenantTable.h>

#include <gtest/gtest.h>

namespace Briarbend::Tenants
{

namespace
{

TenantKeys tenant(std::string name, const std::vector<std::string> &keys, std::optional<std::uint32_t> priority = {})
{
    TenantKeys definition{.tenant = {.name = std::move(name), .priority = priority}, .digests = {}};
    for (const auto &key : keys) {
        definition.digests.push_back(digestOf(key));
    }
    return definition;
}

} // namespace

// Guards against digests that differ between builds, which would refuse every key that a peer has sent.
TEST(TenantTable, digestIsSha256)
{
    const auto digest = digestOf("abc");
    EXPECT_EQ(digest.front(), 0xba);
    EXPECT_EQ(digest.back(), 0xad);
}

// Guards against a request that is taken for that of another tenant, or for one of a tenant without a key.
TEST(TenantTable, keyDecidesOnTheTenant)
{
    const auto table = makeTable({tenant("beta", {"b1", "b2"}, 0), tenant("alpha", {"a1"}), tenant("none", {})});
    for (const auto *key : {"b1", "b2"}) {
        const auto accepted = authenticate(table, false, key);
        ASSERT_EQ(accepted.verdict, Verdict::Accepted);
        EXPECT_EQ(*accepted.tenant, (Tenant{.name = "beta", .priority = 0}));
    }
    EXPECT_EQ(authenticate(table, false, "a1").tenant->priority, std::nullopt);
    for (const auto *key : {"a", "a11", "A1", " a1", "alpha"}) {
        EXPECT_EQ(authenticate(table, false, key).verdict, Verdict::UnknownKey) << key;
        EXPECT_EQ(authenticate(table, false, key).tenant, nullptr) << key;
    }
    EXPECT_EQ(authenticate(table, false, "").verdict, Verdict::MissingKey);
    EXPECT_EQ(authenticate(table, true, "a1").verdict, Verdict::Public);
    EXPECT_EQ(authenticate(table, true, "").verdict, Verdict::Public);
}

// Guards against an empty table or an empty configured key that lets everyone in.
TEST(TenantTable, nothingIsAcceptedWithoutAKey)
{
    EXPECT_EQ(authenticate(makeTable({}), false, "a1").verdict, Verdict::UnknownKey);
    EXPECT_EQ(authenticate(makeTable({tenant("alpha", {""})}), false, "").verdict, Verdict::MissingKey);
}

// Guards against instances that give a key of two tenants to different ones.
TEST(TenantTable, sharedKeyBelongsToTheFirstTenantInAnyOrder)
{
    const auto one = makeTable({tenant("alpha", {"k", "a"}), tenant("beta", {"k", "k"})});
    const auto other = makeTable({tenant("beta", {"k", "k"}), tenant("alpha", {"a", "k"})});
    EXPECT_EQ(one, other);
    EXPECT_EQ(authenticate(one, false, "k").tenant->name, "alpha");
    EXPECT_EQ(one.keys.size(), 2U);
}

// Guards against a tenant's name that adds a header field to requests.
TEST(TenantTable, namesFitIntoAHeaderField)
{
    EXPECT_TRUE(isValidName("team-7 of north"));
    for (const auto *name : {"", "a\r\nX: y", "a\n", " a", "a ", "\xc3\xa9", "a\tb"}) {
        EXPECT_FALSE(isValidName(name)) << name;
    }
}

} // namespace Briarbend::Tenants
