#include <Tests/Processes/Support/Process.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace Briarbend::Processes
{

namespace
{

using Clock = std::chrono::steady_clock;

void require(int errorNumber, const std::string &what)
{
    if (errorNumber != 0) {
        throw std::system_error(errorNumber, std::generic_category(), what);
    }
}

/// Whether the descriptor becomes readable before the end.
bool waitReadable(int descriptor, Clock::time_point end)
{
    pollfd waited{descriptor, POLLIN, 0};
    while (true) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - Clock::now()).count();
        const int ready = ::poll(&waited, 1, static_cast<int>(std::max<std::int64_t>(left, 0)));
        if (ready > 0 || left <= 0) {
            return ready > 0;
        }
    }
}

} // namespace

Process::Process(const std::string &program, const std::vector<std::string> &arguments)
{
    const auto path = std::string(BRIARBEND_PROGRAM_FOLDER) + "/" + program;
    std::array<int, 2> output{};
    if (::pipe2(output.data(), O_CLOEXEC) != 0) {
        require(errno, "pipe");
    }
    this->outputDescriptor = output[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    // Listening sockets of the test's own would stay open in the program.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<std::string> texts{path};
    std::ranges::copy(arguments, std::back_inserter(texts));
    std::vector<char *> pointers;
    std::ranges::transform(texts, std::back_inserter(pointers), [](std::string &text) {
        return text.data();
    });
    pointers.push_back(nullptr);
    const int error = ::posix_spawn(&this->processId, path.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(output[1]);
    if (error != 0) {
        ::close(output[0]);
        require(error, path);
    }
    // The wrapper of glibc 2.36 can not be linked from C++.
    this->exitDescriptor = static_cast<int>(::syscall(SYS_pidfd_open, this->processId, 0));
}

Process::Process(Process &&other) noexcept
    : processId(std::exchange(other.processId, -1))
    , exitDescriptor(std::exchange(other.exitDescriptor, -1))
    , outputDescriptor(std::exchange(other.outputDescriptor, -1))
    , buffered(std::move(other.buffered))
    , exitCode(std::exchange(other.exitCode, std::nullopt))
{
}

Process &Process::operator=(Process &&other) noexcept
{
    if (this != &other) {
        this->end();
        this->processId = std::exchange(other.processId, -1);
        this->exitDescriptor = std::exchange(other.exitDescriptor, -1);
        this->outputDescriptor = std::exchange(other.outputDescriptor, -1);
        this->buffered = std::move(other.buffered);
        this->exitCode = std::exchange(other.exitCode, std::nullopt);
    }
    return *this;
}

Process::~Process()
{
    this->end();
}

void Process::end() noexcept
{
    if (this->processId < 0) {
        return;
    }
    if (!this->exitCode) {
        ::kill(this->processId, SIGKILL);
        ::waitpid(this->processId, nullptr, 0);
    }
    ::close(this->exitDescriptor);
    ::close(this->outputDescriptor);
}

/// Reads what is there into the buffer; false at the end of the output or when the time is over.
bool Process::waitForOutput(Clock::time_point end)
{
    if (!waitReadable(this->outputDescriptor, end)) {
        return false;
    }
    std::array<char, 4096> piece{};
    const auto count = ::read(this->outputDescriptor, piece.data(), piece.size());
    this->buffered.append(piece.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return count > 0;
}

nlohmann::json Process::waitUntilReady(std::chrono::milliseconds timeout)
{
    const auto end = Clock::now() + timeout;
    while (true) {
        const auto lineEnd = this->buffered.find('\n');
        if (lineEnd == std::string::npos) {
            if (!this->waitForOutput(end)) {
                throw std::runtime_error("process " + std::to_string(this->processId) + " did not become ready");
            }
            continue;
        }
        auto json = nlohmann::json::parse(this->buffered.substr(0, lineEnd), nullptr, false);
        this->buffered.erase(0, lineEnd + 1);
        if (json.is_object() && json.contains("listening")) {
            return json;
        }
    }
}

std::string Process::readOutput(std::chrono::milliseconds timeout)
{
    const auto end = Clock::now() + timeout;
    while (this->waitForOutput(end)) { }
    if (Clock::now() >= end) {
        throw std::runtime_error("process " + std::to_string(this->processId) + " did not end its output");
    }
    return std::exchange(this->buffered, {});
}

std::optional<int> Process::waitForExit(std::chrono::milliseconds timeout)
{
    if (this->exitCode || !waitReadable(this->exitDescriptor, Clock::now() + timeout)) {
        return this->exitCode;
    }
    int status = 0;
    ::waitpid(this->processId, &status, 0);
    this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return this->exitCode;
}

bool Process::isRunning()
{
    return !this->waitForExit(std::chrono::milliseconds(0));
}

pid_t Process::pid() const
{
    return this->processId;
}

void Process::signal(int number) const
{
    // After the exit was collected the number may belong to another process.
    if (!this->exitCode && ::kill(this->processId, number) != 0) {
        require(errno, "kill");
    }
}

void Process::freeze()
{
    this->signal(SIGSTOP);
}

void Process::resume()
{
    this->signal(SIGCONT);
}

void Process::terminate()
{
    this->signal(SIGTERM);
}

void Process::kill()
{
    this->signal(SIGKILL);
    this->waitForExit(std::chrono::hours(1));
}

} // namespace Briarbend::Processes
