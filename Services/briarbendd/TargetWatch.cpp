#include "TargetWatch.h"

#include <LibNetwork/Endpoint.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Daemon
{

namespace
{

namespace Asio = boost::asio;

constexpr std::chrono::milliseconds RECONNECT_PAUSE{200};

} // namespace

TargetWatch::TargetWatch(Asio::io_context &ioContext, LostCallback lostCallback)
    : context(ioContext)
    , callback(std::move(lostCallback))
{
}

void TargetWatch::watch(const std::set<Core::TargetId> &targets)
{
    std::erase_if(this->entries, [&targets](const auto &entry) {
        entry.second->isWatched = targets.contains(entry.first);
        return !entry.second->isWatched;
    });
    for (const auto &target : targets) {
        const auto [position, isNew] = this->entries.try_emplace(target, nullptr);
        if (isNew) {
            position->second = std::make_shared<Entry>();
            Asio::co_spawn(this->context, this->follow(target, position->second), Asio::detached);
        }
    }
}

Asio::awaitable<void> TargetWatch::follow(Core::TargetId target, std::shared_ptr<const Entry> entry)
{
    const auto endpoint = Network::parseEndpoint(target.value);
    Asio::steady_timer pause(this->context);
    std::array<char, 16> unexpected{};
    while (endpoint && entry->isWatched) {
        Asio::ip::tcp::socket socket(this->context);
        boost::system::error_code error;
        co_await socket.async_connect(endpoint->tcp(), Asio::redirect_error(Asio::use_awaitable, error));
        while (!error && entry->isWatched) {
            co_await socket.async_read_some(Asio::buffer(unexpected), Asio::redirect_error(Asio::use_awaitable, error));
        }
        if (entry->isWatched) {
            this->callback(target);
        }
        pause.expires_after(RECONNECT_PAUSE);
        co_await pause.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
    }
}

} // namespace Briarbend::Daemon
