#include <LibGossip/Sections.h>

#include <LibGossip/Dispatch.h>

#include <algorithm>
#include <xxhash.h>

namespace Briarbend::Gossip
{

namespace
{

/// Larger deltas are not sent: the version is announced and then requested, so that no text is sent to one instance twice.
constexpr std::size_t MAX_DELTA_BYTES = 300;
/// Time that a holder has to deliver a section before another holder is asked.
constexpr std::chrono::milliseconds SECTION_RETRY_INTERVAL{300};
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

/// Requests the section from the holder that announced it last. Each holder is asked once per announcement; one that does not deliver is
/// not asked again until it repeats its announcement.
void requestFromHolder(State &state, const Core::TeamName &team, PendingSection &pending, Core::TimePoint now, Decision &decision)
{
    const auto &holder = pending.holders.back();
    if (dispatchExchange(state, holder, RequestSection{team, pending.storeVersion}, MessageClass::Answer, now, decision)) {
        pending.holders.pop_back();
        pending.requestedAt = now;
        pending.isRequested = true;
    }
}

bool isDue(const PendingSection &pending, Core::TimePoint now)
{
    return !pending.isRequested || now - pending.requestedAt >= SECTION_RETRY_INTERVAL;
}

void addPendingSection(
    State &state, const SectionUpdate &update, const Membership::PeerAddress &from, Core::TimePoint now, Decision &decision)
{
    auto &pending = state.sections.pending[update.team];
    if (update.storeVersion < pending.storeVersion) {
        return;
    }
    if (update.storeVersion > pending.storeVersion) {
        pending = PendingSection{update.storeVersion, {}, now, false};
    }
    std::erase(pending.holders, from);
    pending.holders.push_back(from);
    if (pending.holders.size() > MAX_HOLDERS) {
        pending.holders.pop_front();
    }
    if (isDue(pending, now)) {
        requestFromHolder(state, update.team, pending, now, decision);
    }
}

/// Returns the new text, or nothing if the delta does not apply to the held version.
std::optional<std::string> applyDelta(const State &state, const SectionUpdate &update)
{
    const auto found = state.sections.held.find(update.team);
    if (update.baseVersion == 0 || found == state.sections.held.end() || found->second.section.storeVersion != update.baseVersion) {
        return std::nullopt;
    }
    const auto &base = found->second.section.text;
    if (std::uint64_t{update.prefixLength} + update.suffixLength > base.size()) {
        return std::nullopt;
    }
    auto text = base.substr(0, update.prefixLength) + update.middle + base.substr(base.size() - update.suffixLength);
    if (hashOf(text) != update.textHash) {
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
    const auto pending = table.pending.find(section.team);
    if (pending != table.pending.end() && pending->second.storeVersion <= section.storeVersion) {
        table.pending.erase(pending);
    }
    std::erase_if(changes.sections, [&section](const SectionText &earlier) {
        return earlier.team == section.team;
    });
    changes.sections.push_back(section);
    return true;
}

SectionUpdate updateOf(const HeldSection &held)
{
    const std::string_view text = held.section.text;
    const std::string_view base = held.previous.text;
    SectionUpdate update{held.section.team, held.section.storeVersion, 0, 0, 0, {}, 0};
    const auto longest = std::min(text.size(), base.size());
    const auto prefix = static_cast<std::size_t>(std::ranges::mismatch(text, base).in1 - text.begin());
    const auto reversed = std::mismatch(text.rbegin(), text.rbegin() + static_cast<std::ptrdiff_t>(longest - prefix), base.rbegin());
    const auto suffix = static_cast<std::size_t>(reversed.first - text.rbegin());
    const auto middle = text.substr(prefix, text.size() - prefix - suffix);
    if (held.previous.storeVersion == 0 || middle.size() > MAX_DELTA_BYTES) {
        return update;
    }
    update.baseVersion = held.previous.storeVersion;
    update.prefixLength = static_cast<std::uint32_t>(prefix);
    update.suffixLength = static_cast<std::uint32_t>(suffix);
    update.middle = middle;
    update.textHash = hashOf(text);
    return update;
}

bool applySectionUpdate(
    State &state, const SectionUpdate &update, const Membership::PeerAddress &from, Core::TimePoint now, Decision &decision)
{
    if (update.storeVersion <= heldVersion(state, update.team)) {
        return false;
    }
    if (auto text = applyDelta(state, update)) {
        return acceptSection(state, {update.team, update.storeVersion, std::move(*text)}, now, decision.changes);
    }
    addPendingSection(state, update, from, now, decision);
    return false;
}

void requestPendingSections(State &state, Core::TimePoint now, Decision &decision)
{
    std::erase_if(state.sections.pending, [now](const auto &item) {
        return item.second.holders.empty() && isDue(item.second, now);
    });
    for (auto &[team, pending] : state.sections.pending) {
        if (isDue(pending, now)) {
            requestFromHolder(state, team, pending, now, decision);
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
