#include <LibQuarantine/Fingerprint.h>

#include <memory>
#include <new>
#include <xxhash.h>

namespace Briarbend::Quarantine
{

namespace
{

void update(XXH3_state_t *state, std::string_view part)
{
    const auto length = static_cast<std::uint64_t>(part.size());
    XXH3_128bits_update(state, &length, sizeof(length));
    XXH3_128bits_update(state, part.data(), part.size());
}

} // namespace

Fingerprint fingerprintOf(std::string_view method, std::string_view target, std::uint64_t bodyLength, std::string_view bodyPrefix)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state{XXH3_createState(), &XXH3_freeState};
    if (state == nullptr || XXH3_128bits_reset(state.get()) != XXH_OK) {
        throw std::bad_alloc{};
    }
    update(state.get(), method);
    update(state.get(), target);
    XXH3_128bits_update(state.get(), &bodyLength, sizeof(bodyLength));
    update(state.get(), bodyPrefix);
    const auto hash = XXH3_128bits_digest(state.get());
    return {.high = hash.high64, .low = hash.low64};
}

} // namespace Briarbend::Quarantine
