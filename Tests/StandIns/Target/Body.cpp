#include <Tests/StandIns/Target/Body.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cstring>
#include <map>
#include <memory>
#include <utility>
#include <xxhash.h>

namespace Briarbend::StandIns
{

namespace
{

constexpr std::uint64_t PATTERN_BYTES = 65521;
constexpr std::uint64_t SLICE_PATTERNS = 64;

/// Source: Steele, Lea and Flood, "Fast splittable pseudorandom number generators".
std::uint64_t splitMix(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace

Body bodyOf(std::string text)
{
    const auto length = text.size();
    return {std::move(text), length};
}

Body patternBody(std::string_view path, std::uint64_t length)
{
    std::uint64_t state = XXH3_64bits(path.data(), path.size());
    std::string pattern(std::min(length, PATTERN_BYTES), '\0');
    for (std::size_t position = 0; position < pattern.size(); position += sizeof(state)) {
        const auto word = splitMix(state);
        std::memcpy(pattern.data() + position, &word, std::min(sizeof(word), pattern.size() - position));
    }
    return {std::move(pattern), length};
}

boost::asio::awaitable<std::string> checksum(const Body &body)
{
    const auto shortDigest = XXH3_64bits(body.pattern.data(), body.pattern.size());
    if (body.length == body.pattern.size()) {
        co_return hexadecimal(shortDigest);
    }
    static std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> known;
    const auto found = known.find({shortDigest, body.length});
    if (found != known.end()) {
        co_return found->second;
    }
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> digest(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(digest.get());
    std::uint64_t slices = 0;
    for (std::uint64_t done = 0; done < body.length; done += body.pattern.size()) {
        XXH3_64bits_update(digest.get(), body.pattern.data(), std::min<std::uint64_t>(body.pattern.size(), body.length - done));
        if (++slices % SLICE_PATTERNS == 0) {
            co_await boost::asio::post(boost::asio::use_awaitable);
        }
    }
    auto text = hexadecimal(XXH3_64bits_digest(digest.get()));
    known[{shortDigest, body.length}] = text;
    co_return text;
}

std::string hexadecimal(std::uint64_t value)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), value, 16).ptr;
    std::string text(digits.begin(), end);
    return std::string(digits.size() - text.size(), '0') + text;
}

} // namespace Briarbend::StandIns
