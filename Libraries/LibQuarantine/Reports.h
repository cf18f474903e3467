#pragma once

#include <LibCore/Identifiers.h>
#include <LibQuarantine/Fingerprint.h>

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <vector>

/// What instances tell each other about broken targets. Ages instead of times, since clocks of two processes are not comparable.
namespace Briarbend::Quarantine
{

/// What is known about one request and one start of a target that may have broken by it. A later state replaces an earlier one,
/// whatever order the reports arrive in.
enum class EvidenceState : std::uint8_t {
    /// The connection died while the request was on it. Whether the target still lives is being looked at.
    Provisional = 0,
    /// The target's start is gone.
    Confirmed = 1,
    /// The target lives, or the request was run by another one since and left it whole.
    Cleared = 2,
};

struct EvidenceReport {
    Fingerprint fingerprint;
    Core::TargetStartId start;
    EvidenceState state{EvidenceState::Provisional};
    /// The request was already under suspicion when it was sent.
    bool isTrial{false};
    /// The reporting instance lately saw the same request run without harm.
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

/// Says that an instance is about to run a suspect request, or that it has ended doing so.
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

/// CBOR (RFC 8949) forms.
std::vector<std::uint8_t> encodeReports(const Reports &reports);
/// Throws CodecError.
Reports decodeReports(const std::vector<std::uint8_t> &bytes);
std::vector<std::uint8_t> encodeTrial(const TrialAnnouncement &trial);
/// Throws CodecError.
TrialAnnouncement decodeTrial(const std::vector<std::uint8_t> &bytes);

} // namespace Briarbend::Quarantine
