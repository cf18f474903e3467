#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Tenants that share a deployment: their API keys and their shares of services that are short of capacity.
namespace Briarbend::Tenants
{

/// SHA-256 of a key. Keys are stored, compared and sent to other instances as digests only.
using KeyDigest = std::array<std::uint8_t, 32>;

KeyDigest digestOf(std::string_view key);

struct Tenant {
    std::string name;
    /// Overrides the priority of the route; zero is the most urgent.
    std::optional<std::uint32_t> priority;

    bool operator==(const Tenant &) const = default;
};

/// A tenant with the digests of its keys.
struct TenantKeys {
    Tenant tenant;
    std::vector<KeyDigest> digests;
};

struct KeyEntry {
    KeyDigest digest{};
    /// Index of the tenant in TenantTable::tenants.
    std::uint32_t tenant{0};

    bool operator==(const KeyEntry &) const = default;
};

/// All tenants of one version of the configuration. The keys are sorted by digest, which takes less memory than a hash table.
struct TenantTable {
    std::vector<Tenant> tenants;
    std::vector<KeyEntry> keys;

    bool operator==(const TenantTable &) const = default;
};

/// Builds a table. A key of several tenants belongs to the first of them. Every instance builds the same table from the same tenants, which
/// are ordered by name.
TenantTable makeTable(std::vector<TenantKeys> definitions);

/// Longest name of a tenant, in bytes. Names travel in header fields and in messages between instances.
constexpr std::size_t MAXIMUM_NAME_LENGTH = 128;

/// Whether the name is neither empty nor too long and can stand in a header field: printable ASCII without spaces at its ends.
bool isValidName(std::string_view name);

enum class Verdict {
    /// The key belongs to a tenant.
    Accepted,
    /// The route needs no key.
    Public,
    MissingKey,
    UnknownKey,
};

struct Authentication {
    Verdict verdict{Verdict::MissingKey};
    /// Points into the table; null unless accepted.
    const Tenant *tenant{nullptr};
};

/// Decides on a request with the key, which is empty if the request states none.
Authentication authenticate(const TenantTable &table, bool isPublic, std::string_view key);

} // namespace Briarbend::Tenants
