#pragma once

#include <fstream>
#include <mutex>
#include <stdexcept>
#include <string>

namespace Briarbend::BriarLoad
{

/// The history file, to which the threads append whole blocks of lines.
class HistoryFile
{
public:
    /// An empty name writes nothing. Throws std::runtime_error where the file can not be opened.
    explicit HistoryFile(const std::string &name)
    {
        if (name.empty()) {
            return;
        }
        this->stream.open(name, std::ios::trunc);
        if (!this->stream) {
            throw std::runtime_error("can not write " + name);
        }
    }

    bool isOpen() const
    {
        return this->stream.is_open();
    }

    void append(const std::string &lines)
    {
        const std::lock_guard lock(this->mutex);
        this->stream << lines;
    }

    /// Throws std::runtime_error where any line was not written.
    void finish()
    {
        this->stream.flush();
        if (this->isOpen() && !this->stream) {
            throw std::runtime_error("the history is incomplete");
        }
    }

private:
    std::ofstream stream;
    std::mutex mutex;
};

} // namespace Briarbend::BriarLoad
