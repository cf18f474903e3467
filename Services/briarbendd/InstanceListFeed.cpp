#include "InstanceListFeed.h"

#include "InstanceListCodec.h"

#include <LibLog/Log.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Daemon
{

namespace
{

/// Peers that an instance without a list asks each time.
constexpr std::size_t PEERS_ASKED = 2;

} // namespace

InstanceListFeed::InstanceListFeed(boost::asio::io_context &ioContext,
                                   Store::ObjectStore &objectStore,
                                   PeerLink &peerLink,
                                   std::chrono::milliseconds pollInterval,
                                   ListCallback listCallback)
    : context(ioContext)
    , store(objectStore)
    , peers(peerLink)
    , interval(pollInterval)
    , callback(std::move(listCallback))
{
    this->peers.onMessage(Channel::InstanceList, [this](const std::string &peer, std::string_view bytes) {
        this->receive(peer, bytes);
    });
}

void InstanceListFeed::start()
{
    boost::asio::co_spawn(this->context, this->poll(), boost::asio::detached);
}

const std::vector<Store::ListedInstance> &InstanceListFeed::list() const
{
    return this->current;
}

boost::asio::awaitable<void> InstanceListFeed::poll()
{
    boost::asio::steady_timer pause(this->context);
    while (true) {
        auto result = co_await this->store.instances();
        if (auto *newList = std::get_if<std::vector<Store::ListedInstance>>(&result)) {
            this->take(std::move(*newList));
        } else if (!this->hasList) {
            this->askPeers();
        }
        pause.expires_after(this->interval);
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
}

void InstanceListFeed::take(std::vector<Store::ListedInstance> newList)
{
    if (this->hasList && newList == this->current) {
        return;
    }
    this->hasList = true;
    this->current = std::move(newList);
    std::set<Membership::PeerAddress> live;
    for (const auto &instance : this->current) {
        if (instance.service.value == Store::ENTRY_SERVICE && instance.state == Store::InstanceState::Live) {
            live.insert({instance.address});
        }
    }
    this->peers.applyInstanceList(live);
    this->callback(this->current);
}

void InstanceListFeed::askPeers()
{
    const auto &members = this->peers.state().members;
    std::size_t asked = 0;
    for (const auto &[id, member] : members.members) {
        if (id == members.self || asked == PEERS_ASKED) {
            continue;
        }
        // The question names the asker's own address, since a connection does not tell where its peer listens.
        this->peers.send(Channel::InstanceList, member.news.address.value, "?" + members.members.at(members.self).news.address.value);
        ++asked;
    }
}

void InstanceListFeed::receive(const std::string &, std::string_view bytes)
{
    const bool isQuestion = bytes.starts_with('?');
    if (isQuestion && this->hasList) {
        this->peers.send(Channel::InstanceList, std::string(bytes.substr(1)), encodeInstanceList(this->current));
    }
    if (!isQuestion && !this->hasList) {
        this->take(decodeInstanceList(bytes));
    }
}

} // namespace Briarbend::Daemon
