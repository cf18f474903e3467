/// Measures the memory of a table of tenants and the cost of authenticating one request, by the number of tenants.

#include <LibTenants/TenantTable.h>

#include <algorithm>
#include <benchmark/benchmark.h>

using namespace Briarbend;

namespace
{

constexpr std::int64_t KEYS_PER_TENANT = 2;

std::string keyOf(std::int64_t number)
{
    return "key-of-a-tenant-with-32-letters-" + std::to_string(number);
}

Tenants::TenantTable tableOf(std::int64_t count)
{
    std::vector<Tenants::TenantKeys> definitions;
    for (std::int64_t number = 0; number < count; ++number) {
        Tenants::TenantKeys definition{.tenant = {.name = "tenant-with-a-long-name-" + std::to_string(number), .priority = {}},
                                       .digests = {}};
        for (std::int64_t key = 0; key < KEYS_PER_TENANT; ++key) {
            definition.digests.push_back(Tenants::digestOf(keyOf(number * KEYS_PER_TENANT + key)));
        }
        definitions.push_back(std::move(definition));
    }
    return Tenants::makeTable(std::move(definitions));
}

std::size_t bytesOf(const Tenants::TenantTable &table)
{
    auto bytes = table.tenants.capacity() * sizeof(Tenants::Tenant) + table.keys.capacity() * sizeof(Tenants::KeyEntry);
    for (const auto &tenant : table.tenants) {
        bytes += tenant.name.capacity() + 1;
    }
    return bytes;
}

void authenticateRequest(benchmark::State &state)
{
    const auto table = tableOf(state.range(0));
    std::vector<std::string> keys;
    for (std::int64_t number = 0; number < state.range(0) * KEYS_PER_TENANT; ++number) {
        keys.push_back(keyOf(number));
    }
    std::size_t next = 0;
    for ([[maybe_unused]] auto iteration : state) {
        // A stride that is prime to the number of keys, so that neighbours in the table are not asked for in turn.
        next = (next + 7919) % keys.size();
        benchmark::DoNotOptimize(Tenants::authenticate(table, false, keys[next]));
    }
    state.counters["bytes"] = static_cast<double>(bytesOf(table));
}

void digestOfKey(benchmark::State &state)
{
    const auto key = keyOf(1);
    for ([[maybe_unused]] auto iteration : state) {
        benchmark::DoNotOptimize(Tenants::digestOf(key));
    }
}

void buildTable(benchmark::State &state)
{
    for ([[maybe_unused]] auto iteration : state) {
        benchmark::DoNotOptimize(tableOf(state.range(0)));
    }
}

BENCHMARK(authenticateRequest)->Arg(84)->Arg(1000)->Arg(10000);
BENCHMARK(digestOfKey);
BENCHMARK(buildTable)->Arg(84)->Arg(1000)->Arg(10000);

} // namespace
