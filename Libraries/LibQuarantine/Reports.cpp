#include <LibCore/BoundedJson.h>
#include <LibQuarantine/Reports.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Briarbend::Quarantine
{

namespace
{

using Json = nlohmann::json;

std::chrono::milliseconds ageFromJson(const Json &json)
{
    return std::chrono::milliseconds{json.get<std::int64_t>()};
}

EvidenceState stateFromJson(const Json &json)
{
    const auto value = json.get<unsigned>();
    if (value > static_cast<unsigned>(EvidenceState::Cleared)) {
        throw CodecError{"quarantine evidence has the unknown state " + std::to_string(value)};
    }
    return static_cast<EvidenceState>(value);
}

template<typename Value, typename Reader>
Value decode(const std::vector<std::uint8_t> &bytes, Reader read)
{
    try {
        return read(Core::parseCbor(bytes));
    } catch (const Json::exception &error) {
        throw CodecError{error.what()};
    }
}

} // namespace

bool Reports::isEmpty() const
{
    return this->evidence.empty() && this->lostStarts.empty();
}

std::vector<std::uint8_t> encodeReports(const Reports &reports)
{
    Json evidence = Json::array();
    for (const auto &report : reports.evidence) {
        evidence.push_back(Json::array({report.fingerprint.high,
                                        report.fingerprint.low,
                                        report.start.value,
                                        static_cast<unsigned>(report.state),
                                        report.isTrial,
                                        report.hadCompletedBefore,
                                        report.age.count()}));
    }
    Json lost = Json::array();
    for (const auto &report : reports.lostStarts) {
        lost.push_back(Json::array({report.start.value, report.age.count()}));
    }
    return Json::to_cbor(Json::array({std::move(evidence), std::move(lost)}));
}

Reports decodeReports(const std::vector<std::uint8_t> &bytes)
{
    return decode<Reports>(bytes, [](const Json &json) {
        Reports reports;
        for (const auto &entry : json.at(0)) {
            reports.evidence.push_back({.fingerprint = {entry.at(0).get<std::uint64_t>(), entry.at(1).get<std::uint64_t>()},
                                        .start = {entry.at(2).get<std::string>()},
                                        .state = stateFromJson(entry.at(3)),
                                        .isTrial = entry.at(4).get<bool>(),
                                        .hadCompletedBefore = entry.at(5).get<bool>(),
                                        .age = ageFromJson(entry.at(6))});
        }
        for (const auto &entry : json.at(1)) {
            reports.lostStarts.push_back({.start = {entry.at(0).get<std::string>()}, .age = ageFromJson(entry.at(1))});
        }
        return reports;
    });
}

std::vector<std::uint8_t> encodeTrial(const TrialAnnouncement &trial)
{
    return Json::to_cbor(
        Json::array({trial.fingerprint.high, trial.fingerprint.low, trial.holder.value, trial.target.value, trial.isEnded}));
}

TrialAnnouncement decodeTrial(const std::vector<std::uint8_t> &bytes)
{
    return decode<TrialAnnouncement>(bytes, [](const Json &json) {
        return TrialAnnouncement{.fingerprint = {json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint64_t>()},
                                 .holder = {json.at(2).get<std::string>()},
                                 .target = {json.at(3).get<std::string>()},
                                 .isEnded = json.at(4).get<bool>()};
    });
}

} // namespace Briarbend::Quarantine
