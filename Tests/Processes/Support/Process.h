#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Briarbend::Processes
{

/// A program under test. Whatever happens, it is gone and reaped when the object is destroyed.
class Process
{
public:
    /// Starts a program of the build by its name. Standard error stays the test's. Throws std::system_error.
    Process(const std::string &program, const std::vector<std::string> &arguments);
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    ~Process();

    /// The JSON line with "listening" that the program prints when it is ready. Throws std::runtime_error where it ends before, or prints
    /// none within the time.
    nlohmann::json waitUntilReady(std::chrono::milliseconds timeout = std::chrono::seconds(20));
    /// What the program printed from now to its end. Throws std::runtime_error when the time is over first.
    std::string readOutput(std::chrono::milliseconds timeout);
    /// The exit code, or the negative number of the signal that ended the program; nothing when the time is over first.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);
    /// SIGSTOP: the program holds its connections and answers nothing.
    void freeze();
    void resume();
    /// SIGTERM: a planned stop.
    void terminate();
    /// SIGKILL, and waits until the program is gone.
    void kill();
    bool isRunning();
    pid_t pid() const;

private:
    void signal(int number) const;
    bool waitForOutput(std::chrono::steady_clock::time_point end);
    void end() noexcept;

    pid_t processId{-1};
    int exitDescriptor{-1};
    int outputDescriptor{-1};
    std::string buffered;
    std::optional<int> exitCode;
};

} // namespace Briarbend::Processes
