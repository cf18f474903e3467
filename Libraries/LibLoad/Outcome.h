#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>

namespace Briarbend::Load
{

/// How one attempt at a request ended, as its caller saw it.
enum class Outcome {
    Answered,
    /// 5xx that states that the request was not run.
    NotRun,
    /// Another 5xx.
    ServerError,
    /// 4xx or an unexpected status.
    Refused,
    Timeout,
    ConnectFailed,
    /// The connection ended before the answer's head.
    ConnectionLost,
    /// The connection ended within the body: cut, but visibly.
    Incomplete,
    /// An answer that seemed whole with a wrong body, another request's answer, or bytes after its end.
    WrongAnswer,
};

constexpr std::array<const char *, 9> OUTCOME_NAMES{
    "answered", "not_run", "server_error", "refused", "timeout", "connect_failed", "connection_lost", "incomplete", "wrong_answer"};

const char *nameOf(Outcome outcome);

/// A complete answer as received, with what identifies the request that it belongs to.
struct ReceivedAnswer {
    unsigned status{0};
    bool isMarkedNotRun{false};
    std::string nonce;
    /// The checksum that the target states, empty where it states none.
    std::string statedChecksum;
    std::string receivedChecksum;
    /// The checksum of the request's body as the target received it, empty where it states none.
    std::string statedBodyChecksum;
    bool hasTrailingBytes{false};
};

/// What the caller expects of the answer to its own request.
struct ExpectedAnswer {
    std::string nonce;
    std::string bodyChecksum;
};

/// Whether the stated checksum holds; nothing where none was stated.
std::optional<bool> isChecksumRight(const ReceivedAnswer &answer);
Outcome classify(const ReceivedAnswer &answer, const ExpectedAnswer &expected);

} // namespace Briarbend::Load
