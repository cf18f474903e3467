#include <LibGossip/Sections.h>

#include <LibGossip/Outbox.h>

#include <algorithm>
#include <xxhash.h>

namespace Briarbend::Gossip
{

namespace
{

/// Longer differences are announced and then fetched, so that no text travels twice to one instance.
constexpr std::size_t MAX_DIFFERENCE_BYTES = 300;
/// Time that a holder has to deliver before another one is asked.
constexpr std::chrono::milliseconds SECTION_RETRY{300};
constexpr std::size_t MAX_HOLDERS = 4;

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t heldVersion(const State &state, const Core::TeamName &team)
{
    const auto found = state.sections.held.find(team);
    return found == state.sections.held.end() ? 0 : found->second.section.storeVersion;
}

/// Asks the latest known holder, once: a holder that does not deliver is not asked again until it announces the section anew.
void request(State &state, const Core::TeamName &team, WantedSection &wanted, Core::TimePoint now, Decision &decision)
{
    const auto &holder = wanted.holders.back();
    if (dispatchExchange(state, holder, RequestSection{team, wanted.storeVersion}, MessageClass::Answer, now, decision)) {
        wanted.holders.pop_back();
        wanted.askedAt = now;
        wanted.isAsked = true;
    }
}

bool isDue(const WantedSection &wanted, Core::TimePoint now)
{
    return !wanted.isAsked || now - wanted.askedAt >= SECTION_RETRY;
}

void want(State &state, const SectionNews &news, const Membership::PeerAddress &from, Core::TimePoint now, Decision &decision)
{
    auto &wanted = state.sections.wanted[news.team];
    if (news.storeVersion < wanted.storeVersion) {
        return;
    }
    if (news.storeVersion > wanted.storeVersion) {
        wanted = WantedSection{news.storeVersion, {}, now, false};
    }
    std::erase(wanted.holders, from);
    wanted.holders.push_back(from);
    if (wanted.holders.size() > MAX_HOLDERS) {
        wanted.holders.pop_front();
    }
    if (isDue(wanted, now)) {
        request(state, news.team, wanted, now, decision);
    }
}

/// The new text where the difference fits the held version, else nothing.
std::optional<std::string> applyDifference(const State &state, const SectionNews &news)
{
    const auto found = state.sections.held.find(news.team);
    if (news.baseVersion == 0 || found == state.sections.held.end() || found->second.section.storeVersion != news.baseVersion) {
        return std::nullopt;
    }
    const auto &base = found->second.section.text;
    if (std::uint64_t{news.prefixLength} + news.suffixLength > base.size()) {
        return std::nullopt;
    }
    auto text = base.substr(0, news.prefixLength) + news.middle + base.substr(base.size() - news.suffixLength);
    if (hashOf(text) != news.textHash) {
        return std::nullopt;
    }
    return text;
}

} // namespace

bool acceptSection(State &state, const SectionText &section, Core::TimePoint now, Changes &changes)
{
    auto &table = state.sections;
    if (section.storeVersion <= heldVersion(state, section.team)) {
        return false;
    }
    auto &held = table.held[section.team];
    if (held.section.storeVersion != 0) {
        toggle(table.digests, digestOf(held.section));
    }
    held.previous = std::exchange(held.section, section);
    held.transmissions = 0;
    held.changedAt = now;
    toggle(table.digests, digestOf(section));
    const auto wanted = table.wanted.find(section.team);
    if (wanted != table.wanted.end() && wanted->second.storeVersion <= section.storeVersion) {
        table.wanted.erase(wanted);
    }
    std::erase_if(changes.sections, [&section](const SectionText &earlier) {
        return earlier.team == section.team;
    });
    changes.sections.push_back(section);
    return true;
}

SectionNews newsOf(const HeldSection &held)
{
    const std::string_view text = held.section.text;
    const std::string_view base = held.previous.text;
    SectionNews news{held.section.team, held.section.storeVersion, 0, 0, 0, {}, 0};
    const auto longest = std::min(text.size(), base.size());
    const auto prefix = static_cast<std::size_t>(std::ranges::mismatch(text, base).in1 - text.begin());
    const auto reversed = std::mismatch(text.rbegin(), text.rbegin() + static_cast<std::ptrdiff_t>(longest - prefix), base.rbegin());
    const auto suffix = static_cast<std::size_t>(reversed.first - text.rbegin());
    const auto middle = text.substr(prefix, text.size() - prefix - suffix);
    if (held.previous.storeVersion == 0 || middle.size() > MAX_DIFFERENCE_BYTES) {
        return news;
    }
    news.baseVersion = held.previous.storeVersion;
    news.prefixLength = static_cast<std::uint32_t>(prefix);
    news.suffixLength = static_cast<std::uint32_t>(suffix);
    news.middle = middle;
    news.textHash = hashOf(text);
    return news;
}

bool applySectionNews(State &state, const SectionNews &news, const Membership::PeerAddress &from, Core::TimePoint now, Decision &decision)
{
    if (news.storeVersion <= heldVersion(state, news.team)) {
        return false;
    }
    if (auto text = applyDifference(state, news)) {
        return acceptSection(state, {news.team, news.storeVersion, std::move(*text)}, now, decision.changes);
    }
    want(state, news, from, now, decision);
    return false;
}

void requestWanted(State &state, Core::TimePoint now, Decision &decision)
{
    std::erase_if(state.sections.wanted, [now](const auto &item) {
        return item.second.holders.empty() && isDue(item.second, now);
    });
    for (auto &[team, wanted] : state.sections.wanted) {
        if (isDue(wanted, now)) {
            request(state, team, wanted, now, decision);
        }
    }
}

void deliverSection(State &state, const RequestSection &request, const Membership::PeerAddress &to, Core::TimePoint now, Decision &decision)
{
    if (heldVersion(state, request.team) >= request.storeVersion && request.storeVersion != 0) {
        dispatchExchange(state, to, DeliverSection{state.sections.held.at(request.team).section}, MessageClass::Bulk, now, decision);
    }
}

} // namespace Briarbend::Gossip
