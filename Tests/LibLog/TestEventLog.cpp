#include <LibLog/EventLog.h>

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Briarbend::Log
{

namespace
{

using Json = nlohmann::ordered_json;

/// A pipe whose reading end the test reads when it likes.
class Pipe
{
public:
    Pipe()
    {
        EXPECT_EQ(pipe(this->ends.data()), 0);
    }

    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    ~Pipe()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }

    int writingEnd() const
    {
        return this->ends[1];
    }

    std::string read() const
    {
        std::string text(1024UL * 1024, '\0');
        const auto length = ::read(this->ends[0], text.data(), text.size());
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, length)));
        return text;
    }

private:
    std::array<int, 2> ends{};
};

} // namespace

TEST(EventLog, aLineIsOneObjectWithTimeInstanceAndEvent)
{
    const Pipe output;
    EventLog log(output.writingEnd(), "front-1", {});
    log.write(Importance::Notable, "store_lost", {{"reason", "a \"quoted\" text"}});
    log.flush();
    const auto line = Json::parse(output.read());
    EXPECT_EQ(line.at("instance"), "front-1");
    EXPECT_EQ(line.at("event"), "store_lost");
    EXPECT_EQ(line.at("reason"), "a \"quoted\" text");
    EXPECT_GT(line.at("time_ms").get<std::int64_t>(), 0);
}

// A line without fields once threw inside a coroutine, which ended unseen.
TEST(EventLog, aLineMayHaveNoFields)
{
    const Pipe output;
    EventLog log(output.writingEnd(), "front-1", {});
    log.write(Importance::Notable, "store_regained", {});
    log.flush();
    EXPECT_EQ(Json::parse(output.read()).at("event"), "store_regained");
}

TEST(EventLog, bytesThatAreNoTextAreReplaced)
{
    const Pipe output;
    EventLog log(output.writingEnd(), "front-1", {});
    log.write(Importance::Notable, "request", {{"request", "\xff\xfe"}});
    log.flush();
    EXPECT_EQ(Json::parse(output.read()).at("event"), "request");
}

TEST(EventLog, aReaderThatStopsDoesNotStopTheWriterAndHearsWhatWasDropped)
{
    const Pipe output;
    EventLog log(output.writingEnd(), "front-1", {.linesPerSecond = 1e9, .burst = 1e9, .bufferBytes = 4096});
    const std::string filler(1000, 'x');
    for (int line = 0; line < 500; ++line) {
        log.write(Importance::Notable, "request", {{"filler", filler}});
        log.flush();
    }
    EXPECT_GT(log.droppedLines(), 100U);
    const auto read = output.read();
    log.flush();
    output.read();
    log.write(Importance::Notable, "after", {});
    log.flush();
    const auto text = output.read();
    const auto lastLine = text.substr(text.rfind('{'));
    EXPECT_EQ(Json::parse(lastLine).at("dropped_lines_before"), log.droppedLines());
    EXPECT_FALSE(read.empty());
}

TEST(EventLog, routineLinesLeaveRoomForNotableOnes)
{
    const Pipe output;
    EventLog log(output.writingEnd(), "front-1", {.linesPerSecond = 0.001, .burst = 10});
    for (int line = 0; line < 100; ++line) {
        log.write(Importance::Routine, "target", {{"line", line}});
    }
    log.write(Importance::Notable, "request", {{"status", 503}});
    log.flush();
    const auto text = output.read();
    EXPECT_EQ(std::ranges::count(text, '\n'), 6);
    EXPECT_NE(text.find("\"request\""), std::string::npos);
}

} // namespace Briarbend::Log
