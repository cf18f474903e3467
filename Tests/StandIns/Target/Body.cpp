#include <Tests/StandIns/Target/Body.h>

#include <LibLoad/BodyChecksum.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstring>
#include <map>
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
    Load::BodyChecksum checksum;
    checksum.update(body.pattern);
    auto text = checksum.text();
    if (body.length == body.pattern.size()) {
        co_return text;
    }
    static std::map<std::pair<std::string, std::uint64_t>, std::string> known;
    const auto found = known.find({text, body.length});
    if (found != known.end()) {
        co_return found->second;
    }
    Load::BodyChecksum total;
    std::uint64_t slices = 0;
    for (std::uint64_t done = 0; done < body.length; done += body.pattern.size()) {
        total.update(std::string_view(body.pattern).substr(0, body.length - done));
        if (++slices % SLICE_PATTERNS == 0) {
            co_await boost::asio::post(boost::asio::use_awaitable);
        }
    }
    co_return known[{text, body.length}] = total.text();
}

} // namespace Briarbend::StandIns
