#include <LibQuarantine/Record.h>

#include <LibCore/BoundedJson.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace Briarbend::Quarantine
{

namespace
{

using Json = nlohmann::json;

/// Bound the size of the record to some 200 kB.
constexpr std::size_t MAXIMUM_EVIDENCE = 1024;
constexpr std::size_t MAXIMUM_LOST_STARTS = 256;

std::size_t countConfirmed(const Suspicion &suspicion)
{
    return static_cast<std::size_t>(std::ranges::count_if(suspicion.evidence, [](const auto &entry) {
        return entry.second.state == EvidenceState::Confirmed;
    }));
}

/// A popular request is on every target, so that only its trials say something about it.
bool isIndicative(const Suspicion &suspicion)
{
    return !hadCompletedBefore(suspicion) || std::ranges::any_of(suspicion.evidence, [](const auto &entry) {
        return entry.second.isTrial && entry.second.state == EvidenceState::Confirmed;
    });
}

bool isKept(const Evidence &evidence, const Settings &settings, Core::TimePoint now)
{
    const auto age = now - evidence.seenAt;
    return evidence.state == EvidenceState::Confirmed && age >= KEEPING_DELAY && age <= settings.retention;
}

Core::WallTime wallTimeOf(Core::TimePoint seenAt, Core::TimePoint now, Core::WallTime wallNow)
{
    return wallNow - std::chrono::duration_cast<std::chrono::milliseconds>(now - seenAt);
}

/// Lost starts that decide whether the evidence counts.
std::vector<KeptLostStart>
lostStartsNear(const QuarantineState &state, const std::vector<KeptEvidence> &evidence, Core::TimePoint now, Core::WallTime wallNow)
{
    std::vector<KeptLostStart> kept;
    for (const auto &[start, lostAt] : state.lostStarts) {
        const auto at = wallTimeOf(lostAt, now, wallNow);
        const bool isNear = std::ranges::any_of(evidence, [&](const KeptEvidence &entry) {
            return std::chrono::abs(entry.seenAt - at) <= state.settings.correlationWindow;
        });
        if (isNear && kept.size() < MAXIMUM_LOST_STARTS) {
            kept.push_back({start, at});
        }
    }
    return kept;
}

using EvidenceKey = std::pair<Fingerprint, Core::TargetStartId>;

std::set<EvidenceKey> keysOf(const Record &record)
{
    std::set<EvidenceKey> keys;
    for (const auto &entry : record.evidence) {
        keys.emplace(entry.fingerprint, entry.start);
    }
    return keys;
}

Core::WallTime wallTimeFromJson(const Json &json)
{
    return Core::WallTime{std::chrono::milliseconds{json.get<std::int64_t>()}};
}

KeptEvidence evidenceFromJson(const Json &json)
{
    return {.fingerprint = {json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint64_t>()},
            .start = {json.at(2).get<std::string>()},
            .isTrial = json.at(3).get<bool>(),
            .hadCompletedBefore = json.at(4).get<bool>(),
            .seenAt = wallTimeFromJson(json.at(5))};
}

KeptLostStart lostStartFromJson(const Json &json)
{
    return {.start = {json.at(0).get<std::string>()}, .seenAt = wallTimeFromJson(json.at(1))};
}

/// The elements of a member that can be read.
template<typename Value, typename Reader>
std::vector<Value> readElements(const Json &object, const char *name, std::size_t limit, Reader read)
{
    std::vector<Value> values;
    const auto found = object.find(name);
    if (found == object.end() || !found->is_array()) {
        return values;
    }
    for (const auto &element : *found) {
        try {
            if (values.size() < limit) {
                values.push_back(read(element));
            }
        } catch (const Json::exception &) {
            continue;
        }
    }
    return values;
}

} // namespace

Record recordOf(const QuarantineState &state, Core::TimePoint now, Core::WallTime wallNow)
{
    std::vector<const std::pair<const Fingerprint, Suspicion> *> suspicions;
    for (const auto &entry : state.suspicions) {
        const auto &suspicion = entry.second;
        if (countConfirmed(suspicion) > 0 && isIndicative(suspicion) && assess(state, suspicion, now).confirmed > 0) {
            suspicions.push_back(&entry);
        }
    }
    std::ranges::stable_sort(suspicions, std::ranges::greater{}, [](const auto *entry) {
        return countConfirmed(entry->second);
    });
    Record record;
    for (const auto *entry : suspicions) {
        for (const auto &[start, evidence] : entry->second.evidence) {
            if (isKept(evidence, state.settings, now) && record.evidence.size() < MAXIMUM_EVIDENCE) {
                record.evidence.push_back({.fingerprint = entry->first,
                                           .start = start,
                                           .isTrial = evidence.isTrial,
                                           .hadCompletedBefore = evidence.hadCompletedBefore,
                                           .seenAt = wallTimeOf(evidence.seenAt, now, wallNow)});
            }
        }
    }
    record.lostStarts = lostStartsNear(state, record.evidence, now, wallNow);
    return record;
}

RecordDifference compare(const Record &stored, const Record &wanted)
{
    const auto storedKeys = keysOf(stored);
    const auto wantedKeys = keysOf(wanted);
    if (!std::ranges::includes(storedKeys, wantedKeys)) {
        return RecordDifference::Incomplete;
    }
    return storedKeys == wantedKeys ? RecordDifference::None : RecordDifference::Outdated;
}

Reports reportsOf(const Record &record, Core::WallTime wallNow)
{
    const auto ageOf = [wallNow](Core::WallTime seenAt) {
        return std::max(std::chrono::milliseconds{0}, wallNow - seenAt);
    };
    Reports reports;
    for (const auto &entry : record.evidence) {
        reports.evidence.push_back({.fingerprint = entry.fingerprint,
                                    .start = entry.start,
                                    .state = EvidenceState::Confirmed,
                                    .isTrial = entry.isTrial,
                                    .hadCompletedBefore = entry.hadCompletedBefore,
                                    .age = ageOf(entry.seenAt)});
    }
    for (const auto &lost : record.lostStarts) {
        reports.lostStarts.push_back({.start = lost.start, .age = ageOf(lost.seenAt)});
    }
    return reports;
}

std::string encodeRecord(const Record &record)
{
    Json evidence = Json::array();
    for (const auto &entry : record.evidence) {
        evidence.push_back(Json::array({entry.fingerprint.high,
                                        entry.fingerprint.low,
                                        entry.start.value,
                                        entry.isTrial,
                                        entry.hadCompletedBefore,
                                        entry.seenAt.time_since_epoch().count()}));
    }
    Json lost = Json::array();
    for (const auto &entry : record.lostStarts) {
        lost.push_back(Json::array({entry.start.value, entry.seenAt.time_since_epoch().count()}));
    }
    return Json{{"evidence", std::move(evidence)}, {"lost", std::move(lost)}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Record decodeRecord(std::string_view text)
{
    try {
        const auto json = Core::parseJson(text);
        return {.evidence = readElements<KeptEvidence>(json, "evidence", MAXIMUM_EVIDENCE, evidenceFromJson),
                .lostStarts = readElements<KeptLostStart>(json, "lost", MAXIMUM_LOST_STARTS, lostStartFromJson)};
    } catch (const Json::exception &) {
        return {};
    }
}

} // namespace Briarbend::Quarantine
