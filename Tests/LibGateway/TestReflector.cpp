#include <LibGateway/Reflector.h>
#include <Tests/LibGateway/MockPlatformStore.h>
#include <Tests/LibGateway/Revisions.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <gtest/gtest.h>

namespace Briarbend::Gateway
{

namespace
{

using namespace std::chrono_literals;
using testing::_;
using testing::InSequence;
using testing::NiceMock;

template<typename Result>
boost::asio::awaitable<Result> now(Result result)
{
    co_return result;
}

/// A watch that gets no response.
boost::asio::awaitable<WatchResult> never()
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, 1h);
    co_await timer.async_wait(boost::asio::use_awaitable);
    co_return StoreFailure{"never"};
}

/// Records the callbacks of a reflector whose store is mocked.
class ReflectorTest : public testing::Test
{
protected:
    ReflectorTest()
        : reflector(this->context,
                    this->store,
                    this->random,
                    ObjectKind::Targets,
                    15s,
                    {.onChanges =
                         [this](const ChangeBatch &batch) {
                             this->heard.push_back((!batch.previous.isKnown() ? "list@" : "changes@")
                                                   + std::to_string(batch.newer.revision.number));
                             this->told = batch.newer;
                             this->toldForPeers = batch.all;
                         },
                     .onListing = [](const Listing &) {},
                     .mode =
                         [this](Revision revision) {
                             return this->mode(revision);
                         },
                     .onResponse =
                         [this] {
                             this->heard.push_back("answer");
                         },
                     .onFailure =
                         [this](const std::string &reason) {
                             this->heard.push_back("failure " + reason);
                         }})
    {
    }

    void runFor(std::chrono::milliseconds duration)
    {
        boost::asio::co_spawn(this->context, this->reflector.follow(), boost::asio::detached);
        boost::asio::co_spawn(this->context, this->reflector.overtakeWatches(), boost::asio::detached);
        this->context.run_for(duration);
    }

    /// The reflector knows revision 5 and watches without an answer; then peers announce revision 9, of which it fetches the given result.
    void runPastStaleWatch(const WatchResult &announced, std::chrono::milliseconds duration)
    {
        const InSequence order;
        EXPECT_CALL(this->store, list).WillOnce([] {
            return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
        });
        EXPECT_CALL(this->store, watch(_, at(5), 15'000ms, Freshness::Linearizable)).WillOnce([] {
            return never();
        });
        EXPECT_CALL(this->store, watch(_, at(5), _, Freshness::Linearizable)).WillOnce([announced] {
            return now<WatchResult>(announced);
        });
        if (std::holds_alternative<HistoryGone>(announced)) {
            EXPECT_CALL(this->store, list(_, Freshness::Linearizable)).WillOnce([] {
                return now<ListResult>(Listing{.objects = {}, .revision = at(9)});
            });
        }
        this->mode = [this](Revision revision) {
            return revision < this->latest ? ReflectorMode::CatchUp : ReflectorMode::Watch;
        };
        this->runFor(300ms);
        this->latest = at(9);
        this->context.restart();
        this->context.run_for(duration);
    }

    /// A reflector does not read the content of objects.
    static Changes changesAt(Revision revision)
    {
        return {.changes = {Change{{.name = "one", .revision = revision, .content = {}}, false}}, .revision = revision};
    }

    boost::asio::io_context context;
    NiceMock<MockPlatformStore> store;
    Core::Random random{5};
    std::vector<std::string> heard;
    Changes told;
    Changes toldForPeers;
    /// The revision that peers announced last.
    Revision latest;
    std::function<ReflectorMode(Revision revision)> mode = [](Revision) {
        return ReflectorMode::Watch;
    };
    Reflector reflector;
};

} // namespace

TEST_F(ReflectorTest, listsOnceAndWatchesFromLastRevision)
{
    const InSequence order;
    EXPECT_CALL(this->store, list(ObjectKind::Targets, _)).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch(_, at(5), _, Freshness::Linearizable)).WillOnce([] {
        return now<WatchResult>(changesAt(at(9)));
    });
    EXPECT_CALL(this->store, watch(_, at(9), _, Freshness::Linearizable)).WillOnce([] {
        return never();
    });
    this->runFor(300ms);
    EXPECT_EQ(this->heard, (std::vector<std::string>{"list@5", "answer", "changes@9", "answer"}));
    EXPECT_TRUE(this->reflector.isCurrent());
}

// Guards against taking changes from a replica that is seconds behind although nothing fails: a route that was moved was still served by
// the old service, whose orders may not be repeated.
TEST_F(ReflectorTest, whoeverWatchesSeesChangesThatAReplicaLacks)
{
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch(_, _, _, Freshness::Relaxed)).WillRepeatedly([] {
        return never();
    });
    EXPECT_CALL(this->store, watch(_, at(5), _, Freshness::Linearizable)).WillOnce([] {
        return now<WatchResult>(changesAt(at(9)));
    });
    EXPECT_CALL(this->store, watch(_, at(9), _, Freshness::Linearizable)).WillRepeatedly([] {
        return never();
    });
    this->runFor(300ms);
    EXPECT_EQ(this->reflector.syncedRevision(), at(9));
}

TEST_F(ReflectorTest, sendsNoRequestsWhileSuspended)
{
    EXPECT_CALL(this->store, list).Times(0);
    this->mode = [](Revision) {
        return ReflectorMode::Suspend;
    };
    this->runFor(300ms);
    EXPECT_FALSE(this->reflector.isCurrent());
}

TEST_F(ReflectorTest, watchUsesConfiguredWait)
{
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch(_, at(5), 15'000ms, _)).WillOnce([] {
        return never();
    });
    this->runFor(50ms);
}

TEST_F(ReflectorTest, relistsLinearizablyAfterLostHistory)
{
    const InSequence order;
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch(_, at(5), _, Freshness::Linearizable)).WillOnce([] {
        return now<WatchResult>(HistoryGone{});
    });
    EXPECT_CALL(this->store, list(_, Freshness::Linearizable)).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(50)});
    });
    EXPECT_CALL(this->store, watch(_, at(50), _, Freshness::Linearizable)).WillOnce([] {
        return never();
    });
    this->runFor(300ms);
}

TEST_F(ReflectorTest, resumesWatchFromSameRevisionAfterFailure)
{
    const InSequence order;
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch(_, at(5), _, Freshness::Linearizable)).WillOnce([] {
        return now<WatchResult>(StoreFailure{"status 503"});
    });
    EXPECT_CALL(this->store, watch(_, at(5), _, Freshness::Linearizable)).WillOnce([] {
        return now<WatchResult>(changesAt(at(6)));
    });
    EXPECT_CALL(this->store, watch(_, at(6), _, Freshness::Linearizable)).WillOnce([] {
        return never();
    });
    this->runFor(600ms);
    EXPECT_EQ(this->heard.at(2), "failure status 503");
}

// Changes from the gap in the history are reported as changes, so that they reach the peers too.
TEST_F(ReflectorTest, relistAfterLostHistoryReportsChangesAndRemovals)
{
    const auto object = [](std::string name, Revision revision) {
        return StoredObject{.name = std::move(name), .revision = revision, .content = {}};
    };
    const InSequence order;
    EXPECT_CALL(this->store, list).WillOnce([&] {
        return now<ListResult>(
            Listing{.objects = {object("stays", at(1)), object("changes", at(2)), object("goes", at(3))}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch).WillOnce([] {
        return now<WatchResult>(HistoryGone{});
    });
    EXPECT_CALL(this->store, list).WillOnce([&] {
        return now<ListResult>(
            Listing{.objects = {object("stays", at(1)), object("changes", at(30)), object("comes", at(31))}, .revision = at(50)});
    });
    EXPECT_CALL(this->store, watch).WillOnce([] {
        return never();
    });
    this->runFor(300ms);
    std::map<std::string, bool> isRemoved;
    for (const auto &change : this->told.changes) {
        isRemoved[change.object.name] = change.isRemoved;
    }
    EXPECT_EQ(isRemoved, (std::map<std::string, bool>{{"changes", false}, {"comes", false}, {"goes", true}}));
}

TEST_F(ReflectorTest, ignoresListingOfStaleReplica)
{
    const InSequence order;
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, list(_, Freshness::Relaxed)).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(3)});
    });
    EXPECT_CALL(this->store, list(_, Freshness::Linearizable)).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(6)});
    });
    this->mode = [](Revision) {
        return ReflectorMode::AwaitPeers;
    };
    this->runFor(50ms);
    this->reflector.requestRelist();
    this->context.run_for(300ms);
    EXPECT_EQ(this->heard.back(), "answer");
    EXPECT_EQ(this->told.revision, at(6));
}

// A listing is as old as its oldest page, and peers may have reported later changes.
TEST_F(ReflectorTest, listingDoesNotRevokeLaterChangesOfPeers)
{
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(3)});
    });
    this->mode = [](Revision) {
        return ReflectorMode::AwaitPeers;
    };
    this->runFor(50ms);
    this->reflector.applyPeerChanges(at(7), changesAt(at(8)), "peer");
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    this->reflector.requestRelist();
    this->context.restart();
    this->context.run_for(200ms);
    EXPECT_EQ(this->reflector.syncedRevision(), at(5));
    EXPECT_EQ(this->reflector.revisionOf("one"), at(8));
    EXPECT_TRUE(this->told.changes.empty()) << "the object is not removed";
}

TEST_F(ReflectorTest, staleReplicaDoesNotLowerRevision)
{
    const InSequence order;
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch(_, at(5), _, _)).WillOnce([] {
        return now<WatchResult>(Changes{.changes = {}, .revision = at(3)});
    });
    EXPECT_CALL(this->store, watch(_, at(5), _, _)).WillOnce([] {
        return never();
    });
    this->runFor(300ms);
}

TEST_F(ReflectorTest, retriesFailuresWithGrowingBackoff)
{
    int calls = 0;
    EXPECT_CALL(this->store, list).WillRepeatedly([&calls] {
        ++calls;
        return now<ListResult>(StoreFailure{"reset"});
    });
    this->runFor(2500ms);
    EXPECT_GE(calls, 4);
    EXPECT_LE(calls, 9) << "pauses of at least 100, 200 and then 400 ms";
    EXPECT_FALSE(this->reflector.isCurrent());
}

TEST_F(ReflectorTest, appliesPeerChangesOnceWithoutStoreRequest)
{
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch).Times(0);
    this->mode = [](Revision) {
        return ReflectorMode::AwaitPeers;
    };
    this->runFor(50ms);
    EXPECT_TRUE(this->reflector.applyPeerChanges(at(5), changesAt(at(8)), "peer"));
    EXPECT_FALSE(this->reflector.applyPeerChanges(at(5), changesAt(at(8)), "peer")) << "from a second watcher";
    EXPECT_FALSE(this->reflector.applyPeerChanges(at(5), changesAt(at(7)), "peer")) << "older than what is known";
    EXPECT_FALSE(this->reflector.applyPeerChanges(at(2), changesAt(at(4)), "peer")) << "older than the listing, which may lack the object";
    EXPECT_EQ(this->heard, (std::vector<std::string>{"list@5", "answer", "changes@8"}));
}

// A watcher that omits from what it publishes the changes that it had from peers hides them from an instance which missed those messages:
// the batch counts as complete there.
TEST_F(ReflectorTest, batchForPeersHoldsChangesThatWereKnownHere)
{
    const InSequence order;
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch(_, at(5), _, _)).WillOnce([] {
        return now<WatchResult>(Changes{.changes = {Change{{.name = "two", .revision = at(6), .content = {}}, false},
                                                    Change{{.name = "one", .revision = at(8), .content = {}}, false}},
                                        .revision = at(8)});
    });
    EXPECT_CALL(this->store, watch(_, at(8), _, _)).WillOnce([] {
        return never();
    });
    bool isAwaitingPeers = true;
    this->mode = [&isAwaitingPeers](Revision) {
        return isAwaitingPeers ? ReflectorMode::AwaitPeers : ReflectorMode::Watch;
    };
    this->runFor(50ms);
    this->reflector.applyPeerChanges(at(7), changesAt(at(8)), "peer");
    isAwaitingPeers = false;
    this->context.restart();
    this->context.run_for(400ms);
    ASSERT_EQ(this->told.changes.size(), 1U);
    EXPECT_EQ(this->told.changes[0].object.name, "two");
    EXPECT_EQ(this->toldForPeers.changes.size(), 2U);
}

TEST_F(ReflectorTest, catchUpFetchesMissingChangesFromLastRevision)
{
    const InSequence order;
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch(_, at(5), _, Freshness::Relaxed)).WillOnce([] {
        return now<WatchResult>(Changes{.changes = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch(_, at(5), _, Freshness::Linearizable)).WillOnce([] {
        return now<WatchResult>(changesAt(at(9)));
    });
    this->mode = [](Revision revision) {
        return revision < at(9) ? ReflectorMode::CatchUp : ReflectorMode::AwaitPeers;
    };
    this->runFor(500ms);
    this->reflector.applyPeerChanges(at(7), changesAt(at(9)), "peer");
    EXPECT_EQ(this->heard.back(), "answer");
}

// A watcher went on waiting for up to the whole watch at a replica that lacked a change of which it had heard: a target that began to leave
// stayed in use there.
TEST_F(ReflectorTest, watchAtAStaleReplicaDoesNotDelayAnnouncedChanges)
{
    this->runPastStaleWatch(changesAt(at(9)), 500ms);
    EXPECT_EQ(this->heard, (std::vector<std::string>{"list@5", "answer", "changes@9", "answer"}));
}

// The history is gone while the watch at the stale replica still waits.
TEST_F(ReflectorTest, watchAtAStaleReplicaDoesNotDelayTheListingAfterLostHistory)
{
    this->runPastStaleWatch(HistoryGone{}, 700ms);
    EXPECT_EQ(this->reflector.syncedRevision(), at(9));
}

// A snapshot moves the revision past removals that this instance has missed. A target that was removed without leaving first stayed in use,
// since nothing showed its removal afterwards.
TEST_F(ReflectorTest, peerSnapshotRemovesWhatThePeerNoLongerHolds)
{
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(
            Listing{.objects = {{.name = "one", .revision = at(3), .content = {}}, {.name = "two", .revision = at(4), .content = {}}},
                    .revision = at(5)});
    });
    this->mode = [](Revision) {
        return ReflectorMode::AwaitPeers;
    };
    this->runFor(50ms);
    this->reflector.applySnapshot({.objects = {{.name = "two", .revision = at(8), .content = {}}}, .revision = at(9)}, "peer");
    ASSERT_EQ(this->told.changes.size(), 2U);
    EXPECT_EQ(this->told.changes[0].object.name, "two");
    EXPECT_EQ(this->told.changes[1].object.name, "one");
    EXPECT_TRUE(this->told.changes[1].isRemoved);
    EXPECT_EQ(this->reflector.syncedRevision(), at(9));
}

TEST_F(ReflectorTest, olderPeerSnapshotRemovesNothing)
{
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {{.name = "one", .revision = at(3), .content = {}}}, .revision = at(5)});
    });
    this->mode = [](Revision) {
        return ReflectorMode::AwaitPeers;
    };
    this->runFor(50ms);
    this->reflector.applySnapshot({.objects = {}, .revision = at(4)}, "peer");
    EXPECT_EQ(this->heard, (std::vector<std::string>{"list@5", "answer"}));
    EXPECT_EQ(this->reflector.syncedRevision(), at(5));
}

TEST_F(ReflectorTest, listingCorrectsPeerSnapshotOnceStoreResponds)
{
    bool isStoreLost = true;
    EXPECT_CALL(this->store, list).WillRepeatedly([&isStoreLost] {
        return isStoreLost ? now<ListResult>(StoreFailure{"silent"})
                           : now<ListResult>(Listing{.objects = {{.name = "two", .revision = at(9), .content = {}}}, .revision = at(12)});
    });
    this->mode = [](Revision revision) {
        return revision < at(12) ? ReflectorMode::Watch : ReflectorMode::AwaitPeers;
    };
    this->runFor(50ms);
    this->reflector.applySnapshot(
        {.objects = {{.name = "one", .revision = at(3), .content = {}}, {.name = "two", .revision = at(9), .content = {}}},
         .revision = at(10)},
        "peer");
    EXPECT_EQ(this->heard.back(), "list@10");
    EXPECT_EQ(this->told.changes.size(), 2U);
    EXPECT_EQ(this->reflector.syncedRevision(), at(10));
    EXPECT_EQ(this->reflector.revisionOf("two"), at(9));
    EXPECT_FALSE(this->reflector.isCurrent()) << "the store is still to be asked for the whole list";
    isStoreLost = false;
    this->context.restart();
    this->context.run_for(1s);
    ASSERT_EQ(this->told.changes.size(), 1U) << "what left meanwhile is taken out";
    EXPECT_TRUE(this->told.changes[0].isRemoved);
    EXPECT_EQ(this->told.changes[0].object.name, "one");
    EXPECT_TRUE(this->reflector.isCurrent());
}

// CONFIG: what a store shows after it was restored from an older copy was applied as if it were newer than what was known.
TEST_F(ReflectorTest, restoredListingTellsWhichObjectsMayBeOutdated)
{
    const auto objectAt = [](std::string name, Revision revision) {
        return StoredObject{.name = std::move(name), .revision = revision, .content = {}};
    };
    const auto restored = [](std::uint64_t number) {
        return Revision{.era = 2, .number = number};
    };
    EXPECT_CALL(this->store, list)
        .WillOnce([objectAt] {
            return now<ListResult>(
                Listing{.objects = {objectAt("same", at(3)), objectAt("older", at(8)), objectAt("gone", at(2)), objectAt("lost", at(9))},
                        .revision = at(10)});
        })
        .WillOnce([objectAt, restored] {
            return now<ListResult>(Listing{.objects = {objectAt("same", restored(3)),
                                                       objectAt("older", restored(5)),
                                                       objectAt("gone", restored(2)),
                                                       objectAt("written", restored(7))},
                                           .revision = restored(7)});
        });
    this->mode = [](Revision) {
        return ReflectorMode::AwaitPeers;
    };
    this->runFor(50ms);
    const Change removal{.object = objectAt("gone", at(11)), .isRemoved = true};
    this->reflector.applyPeerChanges(at(10), {.changes = {removal}, .revision = at(11)}, "peer");
    EXPECT_CALL(this->store, watch).WillOnce([] {
        return now<WatchResult>(HistoryGone{});
    });
    this->mode = [](Revision revision) {
        return revision.era < 2 ? ReflectorMode::CatchUp : ReflectorMode::AwaitPeers;
    };
    this->context.restart();
    this->context.run_for(500ms);
    std::map<std::string, std::pair<bool, bool>> seen;
    for (const auto &change : this->told.changes) {
        seen[change.object.name] = {change.isRemoved, change.mayBeOutdated};
    }
    using Seen = std::pair<bool, bool>;
    EXPECT_EQ(seen.at("same"), Seen(false, true));
    EXPECT_EQ(seen.at("older"), Seen(false, true));
    EXPECT_EQ(seen.at("gone"), Seen(false, true)) << "its removal is lost";
    EXPECT_EQ(seen.at("lost"), Seen(true, true));
    EXPECT_EQ(seen.at("written"), Seen(false, false));
    EXPECT_EQ(this->reflector.syncedRevision(), restored(7)) << "although its number is lower than the one before";
}

// CONFIG: a replica that still held what the restored store has lost would be taken for the new state.
TEST_F(ReflectorTest, listingThatBeginsAnEraIsReadLinearizably)
{
    const InSequence order;
    EXPECT_CALL(this->store, list(_, Freshness::Relaxed)).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, list(_, Freshness::Relaxed)).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = {.era = 2, .number = 9}});
    });
    EXPECT_CALL(this->store, list(_, Freshness::Linearizable)).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = {.era = 2, .number = 4}});
    });
    this->mode = [](Revision) {
        return ReflectorMode::AwaitPeers;
    };
    this->runFor(50ms);
    this->reflector.requestRelist();
    this->context.restart();
    this->context.run_for(500ms);
    EXPECT_EQ(this->reflector.syncedRevision(), (Revision{.era = 2, .number = 4}));
}

// CONFIG: a watch that a restored store answers from a revision of the former era leaves out what was lost and written in between.
TEST_F(ReflectorTest, watchAnsweredInALaterEraIsFollowedByAListing)
{
    const InSequence order;
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = at(5)});
    });
    EXPECT_CALL(this->store, watch).WillOnce([] {
        return now<WatchResult>(Changes{.changes = {}, .revision = {.era = 2, .number = 8}});
    });
    EXPECT_CALL(this->store, list(_, Freshness::Linearizable)).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = {.era = 2, .number = 8}});
    });
    EXPECT_CALL(this->store, watch).WillRepeatedly([] {
        return never();
    });
    this->runFor(300ms);
    EXPECT_EQ(this->heard, (std::vector<std::string>{"list@5", "answer", "answer", "list@8", "answer"}));
}

// CONFIG: instances took each other's positions of different eras for older or newer ones of the same.
TEST_F(ReflectorTest, changesOfPeersApplyInTheOrderOfErasOnly)
{
    EXPECT_CALL(this->store, list).WillOnce([] {
        return now<ListResult>(Listing{.objects = {}, .revision = {.era = 2, .number = 5}});
    });
    this->mode = [](Revision) {
        return ReflectorMode::AwaitPeers;
    };
    this->runFor(50ms);
    const auto changeOf = [](std::uint64_t era, std::uint64_t number) {
        return ReflectorTest::changesAt({.era = era, .number = number});
    };
    EXPECT_FALSE(this->reflector.applyPeerChanges(at(90), changeOf(1, 99), "late")) << "of the former era";
    this->reflector.advanceTo(at(99));
    EXPECT_EQ(this->reflector.syncedRevision(), (Revision{.era = 2, .number = 5}));
    EXPECT_TRUE(this->reflector.applyPeerChanges({.era = 3, .number = 2}, changeOf(3, 3), "ahead")) << "written after the restore";
    EXPECT_EQ(this->reflector.syncedRevision(), (Revision{.era = 2, .number = 5})) << "the listing of the era is still to come";
    EXPECT_FALSE(this->reflector.applyPeerChanges({.era = 2, .number = 5}, changeOf(2, 50), "behind"));
}

} // namespace Briarbend::Gateway
