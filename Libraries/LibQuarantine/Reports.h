#pragma once

#include <LibCore/Identifiers.h>
#include <LibQuarantine/Fingerprint.h>

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <vector>

/// Reports that instances exchange about crashed targets. They carry ages instead of times, since clocks of two processes are not
/// comparable.
namespace Briarbend::Quarantine
{

/// State of the evidence about one request and one start of a target that may have crashed because of it. A later state replaces an earlier
/// one in whatever order the reports arrive.
enum class EvidenceState : std::uint8_t {
    /// The connection was lost with the request on it. Whether the target is still alive is being checked.
    Provisional = 0,
    /// The target's start is gone.
    Confirmed = 1,
    /// The target is alive, or another target has run the request since without a crash.
    Cleared = 2,
};

struct EvidenceReport {
    Fingerprint fingerprint;
    Core::TargetStartId start;
    EvidenceState state{EvidenceState::Provisional};
    /// The request was already under suspicion when it was sent.
    bool isTrial{false};
    /// The reporting instance recently saw the same request complete.
    bool hadCompletedBefore{false};
    std::chrono::milliseconds age{};

    bool operator==(const EvidenceReport &) const = default;
};

/// A start of a target ended without notice, with or without requests on it.
struct LostStartReport {
    Core::TargetStartId start;
    std::chrono::milliseconds age{};

    bool operator==(const LostStartReport &) const = default;
};

struct Reports {
    std::vector<EvidenceReport> evidence;
    std::vector<LostStartReport> lostStarts;

    bool operator==(const Reports &) const = default;
    bool isEmpty() const;
};

/// Announces that an instance is about to run a suspect request, or that the trial has ended.
struct TrialAnnouncement {
    Fingerprint fingerprint;
    Core::InstanceId holder;
    /// The start of the target that the request is to be sent to.
    Core::TargetStartId target;
    bool isEnded{false};

    bool operator==(const TrialAnnouncement &) const = default;
};

class CodecError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Both encode to CBOR (RFC 8949).
std::vector<std::uint8_t> encodeReports(const Reports &reports);
/// Throws CodecError.
Reports decodeReports(const std::vector<std::uint8_t> &bytes);
std::vector<std::uint8_t> encodeTrial(const TrialAnnouncement &trial);
/// Throws CodecError.
TrialAnnouncement decodeTrial(const std::vector<std::uint8_t> &bytes);

} // namespace Briarbend::Quarantine
