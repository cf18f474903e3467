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
/// Begins a message that names an instance which a peer saw leaving.
const std::string LEAVING_MARK{"!"};
/// A platform that still lists an instance as live this long after a peer saw it leaving has taken it back.
constexpr std::chrono::seconds LEAVING_NEWS_LIFETIME{30};

} // namespace

InstanceListFeed::InstanceListFeed(boost::asio::io_context &ioContext,
                                   Store::ObjectStore &objectStore,
                                   Coordination::PeerLink &peerLink,
                                   std::chrono::milliseconds pollInterval,
                                   ListCallback listCallback)
    : context(ioContext)
    , store(objectStore)
    , peers(peerLink)
    , interval(pollInterval)
    , callback(std::move(listCallback))
{
    this->peers.onMessage(Coordination::Channel::InstanceList, [this](const std::string &peer, std::string_view bytes) {
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
    const auto now = Core::Clock::now();
    std::erase_if(this->heardLeaving, [now](const auto &entry) {
        return now - entry.second > LEAVING_NEWS_LIFETIME;
    });
    this->tellLeaving(newList);
    this->platformList = std::move(newList);
    this->apply();
}

void InstanceListFeed::apply()
{
    auto list = this->effectiveList();
    if (this->hasList && list == this->current) {
        return;
    }
    this->hasList = true;
    this->current = std::move(list);
    std::set<Membership::PeerAddress> live;
    for (const auto &instance : this->current) {
        if (instance.service.value == Store::ENTRY_SERVICE && instance.state == Store::InstanceState::Live) {
            live.insert({instance.address});
        }
    }
    this->peers.applyInstanceList(live);
    this->callback(this->current);
}

std::vector<Store::ListedInstance> InstanceListFeed::effectiveList() const
{
    auto list = this->platformList;
    for (auto &instance : list) {
        if (this->heardLeaving.contains(instance.address)) {
            instance.state = Store::InstanceState::Leaving;
        }
    }
    return list;
}

void InstanceListFeed::tellLeaving(const std::vector<Store::ListedInstance> &newList)
{
    for (const auto &instance : newList) {
        const auto known = std::ranges::find(this->current, instance.address, &Store::ListedInstance::address);
        const bool isNews
            = known != this->current.end() && known->state == Store::InstanceState::Live && instance.state == Store::InstanceState::Leaving;
        if (!isNews) {
            continue;
        }
        for (const auto &[id, member] : this->peers.state().members.members) {
            if (id != this->peers.state().members.self && member.update.state == Membership::MemberState::Alive) {
                this->peers.send(Coordination::Channel::InstanceList, member.update.address.value, LEAVING_MARK + instance.address);
            }
        }
    }
}

void InstanceListFeed::hearLeaving(const std::string &address)
{
    this->heardLeaving.insert_or_assign(address, Core::Clock::now());
    if (this->hasList) {
        this->apply();
    }
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
        this->peers.send(
            Coordination::Channel::InstanceList, member.update.address.value, "?" + members.members.at(members.self).update.address.value);
        ++asked;
    }
}

void InstanceListFeed::receive(const std::string &, std::string_view bytes)
{
    if (bytes.starts_with(LEAVING_MARK)) {
        this->hearLeaving(std::string(bytes.substr(LEAVING_MARK.size())));
        return;
    }
    const bool isQuestion = bytes.starts_with('?');
    if (isQuestion && this->hasList) {
        this->peers.send(Coordination::Channel::InstanceList, std::string(bytes.substr(1)), encodeInstanceList(this->current));
    }
    if (!isQuestion && !this->hasList) {
        this->take(decodeInstanceList(bytes));
    }
}

} // namespace Briarbend::Daemon
