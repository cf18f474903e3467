#pragma once

#include <LibCore/Identifiers.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Briarbend::Daemon
{

/// Keeps one silent connection open to each target, whose end shows at once that the target's process has ended. Without it an instance
/// that had no request there would take the next start, which is cold, for the warm one it knew.
class TargetWatch
{
public:
    using LostCallback = std::function<void(const Core::TargetId &target)>;

    TargetWatch(boost::asio::io_context &context, LostCallback callback);

    /// Watches these targets and no others.
    void watch(const std::set<Core::TargetId> &targets);

private:
    struct Entry {
        bool isWatched{true};
    };

    boost::asio::awaitable<void> follow(Core::TargetId target, std::shared_ptr<const Entry> entry);

    boost::asio::io_context &context;
    LostCallback callback;
    std::map<Core::TargetId, std::shared_ptr<Entry>> entries;
};

} // namespace Briarbend::Daemon
