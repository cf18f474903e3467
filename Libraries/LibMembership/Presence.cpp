#include <LibMembership/Presence.h>

#include <LibCore/BoundedJson.h>
#include <LibMembership/Majority.h>
#include <LibMembership/Membership.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace Briarbend::Membership
{

namespace
{

using Json = nlohmann::json;

/// Entries without a renewal for this long are removed from the store.
constexpr std::chrono::milliseconds ENTRY_RETENTION = 4 * PRESENCE_TIMEOUT;
/// More than all parts of a divided fleet have together. Bounds the size of the object.
constexpr std::size_t MAXIMUM_ENTRIES = 32;

bool isMissing(const Member &member)
{
    return member.update.state == MemberState::Gone && !member.isReplaced;
}

std::vector<std::uint32_t> aliveHashes(const State &state)
{
    std::vector<std::uint32_t> hashes;
    std::ranges::transform(aliveMembers(state), std::back_inserter(hashes), memberHash);
    return hashes;
}

/// When the latest of the missing members was found to be gone.
Core::TimePoint latestLoss(const State &state)
{
    auto latest = Core::TimePoint::min();
    for (const auto &[id, member] : state.members) {
        latest = isMissing(member) ? std::max(latest, member.stateSince) : latest;
    }
    return latest;
}

/// Keeps those that were renewed last.
void limitEntries(PresenceState &presence)
{
    while (presence.entries.size() >= MAXIMUM_ENTRIES) {
        presence.entries.erase(std::ranges::min_element(presence.entries, {}, [](const auto &entry) {
            return entry.second.changedAt;
        }));
    }
}

} // namespace

std::vector<Core::InstanceId> missingMembers(const State &state)
{
    std::vector<Core::InstanceId> missing;
    for (const auto &[id, member] : state.members) {
        if (isMissing(member)) {
            missing.push_back(id);
        }
    }
    return missing;
}

void applyTable(PresenceState &presence, const PresenceTable &table, const PeerAddress &self, Core::TimePoint now)
{
    const bool isContinued = presence.readSince && now - presence.lastReadAt <= PRESENCE_TIMEOUT;
    presence.readSince = isContinued ? presence.readSince : now;
    presence.lastReadAt = now;
    std::erase_if(presence.entries, [&table](const auto &known) {
        return !table.contains(known.first);
    });
    for (const auto &[address, entry] : table) {
        const auto known = presence.entries.find(address);
        if (address != self && (known == presence.entries.end() || known->second.entry != entry)) {
            presence.entries[address] = {.entry = entry, .changedAt = now};
        }
    }
}

PresenceTable renewedTable(PresenceState &presence, const State &state, Core::TimePoint now)
{
    std::erase_if(presence.entries, [now](const auto &known) {
        return now - known.second.changedAt > ENTRY_RETENTION;
    });
    limitEntries(presence);
    PresenceTable table;
    for (const auto &[address, known] : presence.entries) {
        table.emplace(address, known.entry);
    }
    table[state.members.at(state.self).update.address] = {.sequence = ++presence.sequence, .members = aliveHashes(state)};
    return table;
}

std::size_t countShownElsewhere(const PresenceState &presence, const State &state, Core::TimePoint now)
{
    std::set<std::uint32_t> shown;
    for (const auto &[address, known] : presence.entries) {
        if (now - known.changedAt <= PRESENCE_TIMEOUT) {
            shown.insert(known.entry.members.begin(), known.entry.members.end());
        }
    }
    for (const auto hash : aliveHashes(state)) {
        shown.erase(hash);
    }
    return shown.size();
}

bool mayDecideForAll(const PresenceState &presence, const State &state, Core::TimePoint now)
{
    if (isAmongMajority(state)) {
        return true;
    }
    const bool isCurrent = presence.readSince && now - presence.lastReadAt <= PRESENCE_TIMEOUT;
    return isCurrent && now - std::max(*presence.readSince, latestLoss(state)) >= PRESENCE_TIMEOUT
        && countAlive(state) > countShownElsewhere(presence, state, now);
}

std::string encodePresence(const PresenceTable &table)
{
    Json entries = Json::object();
    for (const auto &[address, entry] : table) {
        entries[address.value] = Json::array({entry.sequence, entry.members});
    }
    return Json{{"reached", std::move(entries)}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

PresenceTable decodePresence(std::string_view text)
{
    PresenceTable table;
    try {
        const auto entries = Core::parseJson(text).at("reached");
        for (const auto &[address, entry] : entries.items()) {
            try {
                table[{address}] = {.sequence = entry.at(0).get<std::uint64_t>(), .members = entry.at(1).get<std::vector<std::uint32_t>>()};
            } catch (const Json::exception &) {
                continue;
            }
        }
    } catch (const Json::exception &) {
        return table;
    }
    return table;
}

} // namespace Briarbend::Membership
