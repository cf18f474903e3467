#pragma once

#include <LibCore/Random.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Briarbend::Load
{

/// One kind of request in a mix.
struct MixRoute {
    /// Share of the requests in relation to the other routes, above zero.
    double weight{1};
    std::string method{"GET"};
    std::string path{"/"};
    /// Length of the body: of the answer for GET, of the request for other methods.
    std::uint64_t bytes{0};
    /// Each request carries an Idempotency-Key of its own.
    bool isOnce{false};

    bool operator==(const MixRoute &) const = default;
};

/// Reads "weight,METHOD,path[,bytes][,once]". Throws std::invalid_argument with what is wrong.
MixRoute parseMixRoute(std::string_view text);
/// Reads the [[route]] tables of a TOML document. Throws std::invalid_argument with the line of what is wrong.
std::vector<MixRoute> parseMix(std::string_view document);
/// Index of a route drawn by weight. The mix must not be empty.
std::size_t chooseRoute(const std::vector<MixRoute> &mix, Core::Random &random);

} // namespace Briarbend::Load
