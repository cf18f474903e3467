#include <LibTenants/TenantTable.h>

#include <algorithm>
#include <openssl/sha.h>
#include <stdexcept>

namespace Briarbend::Tenants
{

namespace
{

static_assert(std::tuple_size_v<KeyDigest> == SHA256_DIGEST_LENGTH);

} // namespace

KeyDigest digestOf(std::string_view key)
{
    KeyDigest digest{};
    // Without this check all keys would have the same digest, and any of them would be accepted.
    if (SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data()) == nullptr) {
        throw std::runtime_error("the cryptographic library failed to compute a SHA-256 digest");
    }
    return digest;
}

TenantTable makeTable(std::vector<TenantKeys> definitions)
{
    std::ranges::sort(definitions, {}, [](const TenantKeys &definition) -> const std::string & {
        return definition.tenant.name;
    });
    TenantTable table;
    table.tenants.reserve(definitions.size());
    for (auto &definition : definitions) {
        const auto index = static_cast<std::uint32_t>(table.tenants.size());
        table.tenants.push_back(std::move(definition.tenant));
        std::ranges::transform(definition.digests, std::back_inserter(table.keys), [index](const KeyDigest &digest) {
            return KeyEntry{.digest = digest, .tenant = index};
        });
    }
    std::ranges::stable_sort(table.keys, {}, &KeyEntry::digest);
    const auto repeated = std::ranges::unique(table.keys, {}, &KeyEntry::digest);
    table.keys.erase(repeated.begin(), repeated.end());
    table.keys.shrink_to_fit();
    return table;
}

bool isValidName(std::string_view name)
{
    const bool isPrintable = std::ranges::all_of(name, [](char character) {
        return character >= ' ' && character <= '~';
    });
    return isPrintable && !name.empty() && name.size() <= MAXIMUM_NAME_LENGTH && name.front() != ' ' && name.back() != ' ';
}

Authentication authenticate(const TenantTable &table, bool isPublic, std::string_view key)
{
    if (isPublic) {
        return {.verdict = Verdict::Public, .tenant = nullptr};
    }
    if (key.empty()) {
        return {.verdict = Verdict::MissingKey, .tenant = nullptr};
    }
    const auto digest = digestOf(key);
    const auto found = std::ranges::lower_bound(table.keys, digest, {}, &KeyEntry::digest);
    if (found == table.keys.end() || found->digest != digest) {
        return {.verdict = Verdict::UnknownKey, .tenant = nullptr};
    }
    return {.verdict = Verdict::Accepted, .tenant = &table.tenants[found->tenant]};
}

} // namespace Briarbend::Tenants
