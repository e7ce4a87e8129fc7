// Membership: stale messages, silent agents, leaving, network partitions, digests, limits,
// bandwidth.
#include <string>

#include "base/json.h"
#include "membership_mesh.h"
#include "section.h"

using namespace zinniabarrow;
using tests::section;

namespace {

constexpr time_point Start{seconds(1000)};

announcement makeAnnouncement(std::uint64_t incarnation, std::uint64_t sequence,
                              upstream_state state = upstream_state::Serving)
{
    announcement message;
    message.agentId = "agent-7";
    message.address = "10.0.0." + std::to_string(incarnation) + ":7100";
    message.service = "tickets";
    message.slots = 8;
    message.incarnation = incarnation;
    message.sequence = sequence;
    message.state = state;
    return message;
}

membership makeEntry(const std::string &id, std::uint64_t incarnation = 1)
{
    membership_settings settings;
    settings.entryId = id;
    settings.incarnation = incarnation;
    return membership(settings);
}

template <typename Change>
int countOf(const std::vector<membership_change> &changes)
{
    int count = 0;
    for (const auto &change : changes)
        count += std::holds_alternative<Change>(change) ? 1 : 0;
    return count;
}

leave_reason reasonOf(const std::vector<membership_change> &changes)
{
    for (const auto &change : changes) {
        if (const auto *left = std::get_if<upstream_left>(&change))
            return left->reason;
    }
    throw error(error_kind::Internal, "no upstream_left among the changes");
}

// Sends one digest from `from` to `to` and its ack back. Returns true if a digest was due.
bool exchangeDigest(membership &from, const std::string &fromId, membership &to,
                    const std::string &toId, time_point now, bool isAckLost = false)
{
    const auto message = from.digestFor(toId, now);
    if (!message)
        return false;
    const auto outcome = to.handleMessage(digestFromJson(toJson(*message)), now);
    if (outcome.ack && !isAckLost)
        from.handleMessage(*outcome.ack);
    return message->senderId == fromId;
}

mesh_settings meshOf(int agents, int entries)
{
    mesh_settings settings;
    settings.agents = agents;
    settings.entries = entries;
    return settings;
}

} // namespace

// An agent was replaced, and messages of the old process still arrive, out of order and duplicated.
// If one took effect, requests would be sent to an address where nothing listens or to an upstream
// that is leaving.
Test(membership, lateMessagesChangeNothing)
{
    auto entry = makeEntry("e0");
    entry.handleMessage(makeAnnouncement(2, 5), Start);
    const auto refused = [&](const announcement &message) {
        const auto outcome = entry.handleMessage(message, Start);
        return outcome.reply.refusalKind == error_kind::StaleIncarnation && outcome.changes.empty()
               && outcome.reply.knownIncarnation == entry.knownUpstreams().front().incarnation;
    };
    section("messages of an old incarnation are refused", [&] {
        check(refused(makeAnnouncement(1, 99)));
        check(refused(makeAnnouncement(1, 100, upstream_state::Leaving)));
    });
    section("messages with an old sequence and duplicates are refused", [&] {
        check(refused(makeAnnouncement(2, 4, upstream_state::Starting)));
        check(refused(makeAnnouncement(2, 5)));
    });
    section("Serving after Leaving is refused", [&] {
        check(countOf<upstream_left>(
                      entry.handleMessage(makeAnnouncement(2, 6, upstream_state::Leaving), Start)
                              .changes)
              == 1);
        check(refused(makeAnnouncement(2, 7)));
        check(entry.routableUpstreams().empty());
    });
    section("a repeated Leaving is accepted, so that the agent stops repeating it", [&] {
        const auto outcome =
                entry.handleMessage(makeAnnouncement(2, 8, upstream_state::Leaving), Start);
        check(!outcome.reply.refusalKind);
    });
    section("a newer incarnation is accepted", [&] {
        const auto outcome = entry.handleMessage(makeAnnouncement(3, 1), Start);
        check(countOf<upstream_joined>(outcome.changes) == 1);
        check(entry.routableUpstreams().front().address == "10.0.0.3:7100");
    });
    section("a newer incarnation replaces one that never announced Leaving", [&] {
        const auto outcome = entry.handleMessage(makeAnnouncement(4, 1), Start);
        check(reasonOf(outcome.changes) == leave_reason::Replaced);
        check(countOf<upstream_joined>(outcome.changes) == 1);
    });
}

Test(membership, silentAgents)
{
    auto entry = makeEntry("e0");
    entry.handleMessage(makeAnnouncement(1, 1), Start);
    section("an upstream is not routable three and a half periods after its last message", [&] {
        check(entry.tick(Start + milliseconds(3499)).empty());
        const auto changes = entry.tick(Start + milliseconds(3500));
        check(reasonOf(changes) == leave_reason::Silent);
    });
    section("one heartbeat makes it routable again", [&] {
        const auto outcome =
                entry.handleMessage(heartbeatOf(makeAnnouncement(1, 2)), Start + seconds(10));
        check(countOf<upstream_joined>(outcome.changes) == 1);
    });
    section("the reply to a heartbeat of an unknown agent asks for the announcement", [&] {
        auto other = makeEntry("e1");
        const auto outcome = other.handleMessage(heartbeatOf(makeAnnouncement(1, 3)), Start);
        check(outcome.reply.needsFullAnnouncement && other.size() == 0);
    });
}

// The entry receives heartbeats of fewer agents than before and requests a shorter period, but the
// reply is lost. The agent keeps its old period, and its healthy upstream must stay routable.
Test(membership, lostPeriodReply)
{
    auto entry = makeEntry("e0");
    const auto deliver = [&](int index, std::uint64_t sequence, upstream_state state,
                             time_point now) {
        auto message = makeAnnouncement(1, sequence, state);
        message.agentId = "agent-" + std::to_string(index);
        return entry.handleMessage(message, now).reply.period;
    };
    for (int i = 0; i < 50; ++i)
        deliver(i, 1, upstream_state::Serving, Start);
    const auto before = deliver(0, 2, upstream_state::Serving, Start);
    require(before > milliseconds(4000));
    for (int i = 1; i < 50; ++i)
        deliver(i, 2, upstream_state::Leaving, Start);
    const auto after = deliver(0, 3, upstream_state::Serving, Start + before);
    check(after == milliseconds(1000));
    check(entry.tick(Start + 2 * before - milliseconds(1)).empty());
    check(entry.routableUpstreams().size() == 1);
}

// Entry c is disconnected from the agent and from the only entry that receives its heartbeats. The
// agent leaves; c learns it through b and sends no more requests to the upstream.
Test(membership, leavingThroughAnyPeer)
{
    auto a = makeEntry("a");
    auto b = makeEntry("b");
    auto c = makeEntry("c");
    a.handleMessage(makeAnnouncement(1, 1), Start);
    exchangeDigest(a, "a", b, "b", Start);
    exchangeDigest(a, "a", c, "c", Start);
    require(c.routableUpstreams().size() == 1);
    const time_point later = Start + milliseconds(100);
    a.handleMessage(makeAnnouncement(1, 2, upstream_state::Leaving), later);
    section("a change is sent at once, not after the next period", [&] {
        check(exchangeDigest(a, "a", b, "b", later));
        check(b.routableUpstreams().empty());
    });
    section("b forwards the change to c", [&] {
        check(exchangeDigest(b, "b", c, "c", later));
        check(c.routableUpstreams().empty());
        check(c.counters().departures.at(leave_reason::Left) == 1);
    });
    section("digests without changes have no records", [&] {
        exchangeDigest(b, "b", c, "c", later + seconds(2));
        const auto idle = b.digestFor("c", later + seconds(4));
        check(idle && idle->records.empty());
    });
}

// Entry b routes to an upstream because entry a reports that it receives the agent's heartbeats. b
// must stop routing to it when a reports the agent as silent, when no digests of a arrive, and when
// a is replaced by a new process that has not reported the agent.
Test(membership, reportsOfPeers)
{
    auto a = makeEntry("a");
    auto b = makeEntry("b");
    a.handleMessage(makeAnnouncement(1, 1), Start);
    exchangeDigest(a, "a", b, "b", Start);
    section("a reports that the agent is silent", [&] {
        a.tick(Start + milliseconds(3500));
        exchangeDigest(a, "a", b, "b", Start + milliseconds(3500));
        check(b.routableUpstreams().empty());
        a.handleMessage(makeAnnouncement(1, 2), Start + seconds(4));
        exchangeDigest(a, "a", b, "b", Start + seconds(4));
        check(b.routableUpstreams().size() == 1);
    });
    section("no digests of a arrive", [&] {
        const auto limit = 3 * b.digestPeriod() + milliseconds(10000);
        check(b.tick(Start + seconds(4) + limit - milliseconds(1)).empty());
        check(reasonOf(b.tick(Start + seconds(4) + limit)) == leave_reason::Silent);
    });
    section("a digest without changes makes the reports of a count again", [&] {
        const time_point later = Start + seconds(20);
        a.handleMessage(makeAnnouncement(1, 3), later);
        exchangeDigest(a, "a", b, "b", later);
        b.tick(later);
        check(b.routableUpstreams().size() == 1);
    });
    section("a new process of a has not reported any agent yet", [&] {
        auto restarted = makeEntry("a", 2);
        exchangeDigest(restarted, "a", b, "b", Start + seconds(21));
        b.tick(Start + seconds(21));
        check(b.routableUpstreams().empty());
        exchangeDigest(a, "a", b, "b", Start + seconds(40));
        b.tick(Start + seconds(40));
        check(b.routableUpstreams().empty() && b.counters().staleDigests == 1);
    });
    section("a new process whose clock was set back raises its incarnation above the known one",
            [&] {
                auto withOlderClock = makeEntry("a", 1);
                withOlderClock.handleMessage(makeAnnouncement(1, 4), Start + seconds(50));
                exchangeDigest(withOlderClock, "a", b, "b", Start + seconds(50));
                check(b.routableUpstreams().empty());
                exchangeDigest(withOlderClock, "a", b, "b", Start + seconds(55));
                check(b.routableUpstreams().size() == 1);
                section("a process that was acknowledged before does not raise its incarnation",
                        [&] {
                            exchangeDigest(a, "a", b, "b", Start + seconds(60));
                            check(a.digestFor("b", Start + seconds(70))->incarnation == 1);
                        });
            });
}

Test(membership, digests)
{
    auto a = makeEntry("a");
    auto b = makeEntry("b");
    const auto deliver = [&](int count) {
        for (int i = 0; i < count; ++i) {
            auto message = makeAnnouncement(1, 1);
            message.agentId = "agent-" + std::to_string(i);
            a.handleMessage(message, Start);
        }
    };
    deliver(40);
    section("digests are limited in size; the rest follows after an acknowledgement", [&] {
        check(a.digestFor("b", Start)->records.size() == 16);
        auto receiver = makeEntry("c");
        int sent = 0;
        while (exchangeDigest(a, "a", receiver, "c", Start))
            ++sent;
        check(sent == 3 && receiver.routableUpstreams().size() == 40);
    });
    section("digests are sent again if the acknowledgement was lost", [&] {
        check(exchangeDigest(a, "a", b, "b", Start + seconds(5), true));
        check(b.routableUpstreams().size() == 16);
        while (exchangeDigest(a, "a", b, "b", Start + seconds(10))) { }
        check(b.routableUpstreams().size() == 40);
        check(b.counters().staleDigests == 0);
    });
    section("a replaced receiver is sent all records", [&] {
        auto restarted = makeEntry("b", 2);
        exchangeDigest(a, "a", restarted, "b", Start + seconds(20));
        while (exchangeDigest(a, "a", restarted, "b", Start + seconds(20))) { }
        check(a.counters().resyncs == 1);
        check(restarted.routableUpstreams().size() == 40);
    });
}

// The entry is flooded with new agent ids. Departed upstreams are removed first, serving ones stay,
// and the rest of the flood is refused and counted.
Test(membership, limits)
{
    membership_settings settings;
    settings.maxMembers = 2;
    membership entry(settings);
    const auto deliver = [&](const std::string &id, upstream_state state) {
        auto message = makeAnnouncement(1, 1, state);
        message.agentId = id;
        return entry.handleMessage(message, Start).reply.refusalKind;
    };
    deliver("serving", upstream_state::Serving);
    deliver("gone", upstream_state::Leaving);
    check(!deliver("new", upstream_state::Serving));
    check(deliver("flood", upstream_state::Serving) == error_kind::OverCapacity);
    check(entry.counters().overLimit == 1);
    check(entry.size() == 2 && entry.routableUpstreams().size() == 2);
    section("replaced peers are removed as well", [&] {
        for (int i = 0; i < 64; ++i)
            check(entry.digestFor("peer-" + std::to_string(i), Start).has_value());
        check(!entry.digestFor("another", Start));
        entry.tick(Start + std::chrono::minutes(10));
        check(entry.digestFor("another", Start + std::chrono::minutes(10)).has_value());
    });
}

// Two processes use one agent id: the newer one was started while the older one was paused, and the
// older one must stop when it resumes. A clock that was set back must not keep a new process out.
Test(membership, replacedAgents)
{
    auto entry = makeEntry("e0");
    announcer_settings settings;
    settings.entries = {"e0"};
    const auto exchangeMessages = [&](announcer &agent, time_point now) {
        for (const auto &sent : agent.tick(now)) {
            const auto outcome = std::visit(
                    [&](const auto &message) { return entry.handleMessage(message, now); },
                    sent.message);
            agent.handleReply(sent.entry, outcome.reply, now);
        }
    };
    announcer olderAgent(settings, makeAnnouncement(5, 0));
    exchangeMessages(olderAgent, Start);
    announcer newerAgent(settings, makeAnnouncement(6, 0));
    exchangeMessages(newerAgent, Start + seconds(10));
    section("the older process stops announcing when it resumes", [&] {
        exchangeMessages(olderAgent, Start + seconds(11));
        check(olderAgent.isSuperseded() && olderAgent.tick(Start + seconds(20)).empty());
        check(entry.knownUpstreams().front().incarnation == 6);
    });
    section("a new process with an older clock raises its incarnation above the known one", [&] {
        announcer withOlderClock(settings, makeAnnouncement(3, 0));
        exchangeMessages(withOlderClock, Start + seconds(12));
        exchangeMessages(withOlderClock, Start + seconds(12));
        check(!withOlderClock.isSuperseded() && withOlderClock.self().incarnation == 7);
        check(entry.routableUpstreams().front().incarnation == 7);
        exchangeMessages(newerAgent, Start + seconds(13));
        check(newerAgent.isSuperseded());
    });
    section("a reply to an earlier message does not acknowledge Leaving", [&] {
        announcer leaving(settings, makeAnnouncement(9, 0));
        const auto before = leaving.tick(Start);
        leaving.setState(upstream_state::Leaving);
        const auto sequence = std::get<announcement>(before.front().message).sequence;
        leaving.handleReply("e0", {sequence, std::nullopt, 9, false, milliseconds(1000)}, Start);
        check(!leaving.isLeaveComplete());
        exchangeMessages(leaving, Start);
        check(leaving.isLeaveComplete());
    });
}

// Real announcers and memberships exchange messages, whose bytes are counted. Within seconds after
// an upstream starts to leave, no entry may route to it, not even one that is disconnected from the
// agent.
Test(membership, mesh)
{
    section("agents and entries find each other by their settings alone", [] {
        mesh nodes(meshOf(11, 5));
        nodes.runFor(seconds(5));
        for (int i = 0; i < 5; ++i)
            check(nodes.countRoutableAt(i) == 11);
        section("Leaving reaches an entry that is disconnected from the agent", [&] {
            nodes.disconnect(mesh::agentName(3), mesh::entryName(2));
            nodes.disconnect(mesh::agentName(3), mesh::entryName(4));
            nodes.agent(3).setState(upstream_state::Leaving);
            nodes.runFor(milliseconds(500));
            check(nodes.countEntriesRoutingTo(3) == 0);
            nodes.reconnectAll();
        });
        section("Leaving reaches entries that are disconnected from one another", [&] {
            for (int one = 0; one < 5; ++one) {
                for (int other = one + 1; other < 5; ++other)
                    nodes.disconnect(mesh::entryName(one), mesh::entryName(other));
            }
            nodes.agent(4).setState(upstream_state::Leaving);
            nodes.runFor(milliseconds(500));
            check(nodes.countEntriesRoutingTo(4) == 0);
            nodes.reconnectAll();
            nodes.startAgent(4);
            nodes.runFor(seconds(5));
            check(nodes.countEntriesRoutingTo(4) == 5);
        });
        section("the upstream of a killed agent is not routable at any entry", [&] {
            nodes.stopAgent(5);
            nodes.runFor(seconds(5));
            check(nodes.countEntriesRoutingTo(5) == 0);
            nodes.startAgent(5);
            nodes.runFor(seconds(2));
            check(nodes.countEntriesRoutingTo(5) == 5);
        });
        section("a replaced entry learns all upstreams again, and no other entry loses one", [&] {
            nodes.stopEntry(1);
            nodes.startEntry(1);
            nodes.runFor(seconds(3));
            check(nodes.countRoutableAt(1) == 10);
            check(nodes.countRoutableAt(0) == 10);
        });
    });
    section("healthy agents stay routable when the entries that receive their heartbeats fail "
            "repeatedly",
            [] {
                mesh nodes(meshOf(11, 4));
                nodes.runFor(seconds(5));
                for (int second = 0; second < 240; ++second) {
                    for (const int stoppedEntry : {0, 1}) {
                        if (second % 120 == 0)
                            nodes.stopEntry(stoppedEntry);
                        if (second % 120 == 60)
                            nodes.startEntry(stoppedEntry);
                    }
                    nodes.runFor(seconds(1));
                    require(nodes.countRoutableAt(2) == 11 && nodes.countRoutableAt(3) == 11);
                }
            });
    section("with one message in ten lost, only leaving upstreams stop being routable", [] {
        auto settings = meshOf(40, 5);
        settings.lossFraction = 0.1;
        mesh nodes(settings);
        nodes.runFor(seconds(10));
        int replaced = 0; // times an entry was replaced as unresponsive
        for (int second = 0; second < 300; ++second) {
            nodes.runFor(seconds(1));
            for (int i = 0; i < 40; ++i) {
                const auto first = announceTargets(mesh::agentName(i), nodes.entryNames(), 2);
                replaced += nodes.agent(i).targets() == first ? 0 : 1;
            }
            for (int i = 0; i < 5; ++i)
                require(nodes.countRoutableAt(i) == 40);
        }
        check(replaced == 0);
        for (int i = 0; i < 20; ++i)
            nodes.agent(i).setState(upstream_state::Leaving);
        nodes.runFor(seconds(3));
        for (int i = 0; i < 20; ++i)
            check(nodes.countEntriesRoutingTo(i) == 0);
    });
    section("790 agents and 15 entries use at most 2 KB a second per node", [] {
        mesh nodes(meshOf(790, 15));
        nodes.runFor(seconds(60));
        nodes.resetTraffic();
        nodes.runFor(seconds(60));
        for (int i = 0; i < 15; ++i) {
            check(nodes.countRoutableAt(i) == 790);
            const auto &bytes = nodes.trafficOf(mesh::entryName(i));
            check(bytes.sent + bytes.received < 60 * 2000);
        }
        const auto &bytes = nodes.trafficOf(mesh::agentName(789));
        check(bytes.sent + bytes.received < 60 * 60);
        section("Leaving takes effect at every entry within half a second", [&] {
            nodes.agent(400).setState(upstream_state::Leaving);
            nodes.runFor(milliseconds(500));
            check(nodes.countEntriesRoutingTo(400) == 0);
        });
        section("a killed agent is not routable at any entry within 30 seconds", [&] {
            nodes.stopAgent(401);
            nodes.runFor(seconds(30));
            check(nodes.countEntriesRoutingTo(401) == 0);
            check(nodes.countRoutableAt(0) == 788);
        });
    });
}

Test(membership, messages)
{
    const auto full = makeAnnouncement(3, 9);
    section("messages are unchanged after conversion to text and back", [&] {
        const auto parsed = announcementFromJson(parseJson(compactJson(toJson(full))));
        check(toJson(parsed) == toJson(full));
        const auto compact = heartbeatOf(full);
        check(toJson(heartbeatFromJson(toJson(compact))) == toJson(compact));
        const announce_reply reply{4, error_kind::StaleIncarnation, 3, false, milliseconds(5)};
        check(toJson(announceReplyFromJson(toJson(reply))) == toJson(reply));
        const digest_ack ack{"a", 1, 2};
        check(toJson(digestAckFromJson(toJson(ack))) == toJson(ack));
    });
    section("the error names a missing or invalid member", [&] {
        for (const auto &name : toJson(full).getMemberNames()) {
            for (const bool missing : {true, false}) {
                auto json = toJson(full);
                json[name] = Json::Value(-1.5);
                if (missing)
                    json.removeMember(name);
                try {
                    announcementFromJson(json);
                    check(!"accepted");
                } catch (const error &problem) {
                    check(problem.kind() == error_kind::BadRequest);
                    check(std::string(problem.what()).find(name) != std::string::npos);
                }
            }
        }
    });
    section("JSON of another structure is refused", [] {
        for (const char *text : {"[]", "{}", "3", "[1,2,3,4,5,6,7]", "[\"a\",1,1,0,1,[[]]]",
                                 "[\"a\",1,1,0,1,5]", "[\"a\",-1,1]", "null"}) {
            const auto json = parseJson(text);
            int refused = 0;
            const auto countRefusal = [&](auto &&parse) {
                try {
                    parse(json);
                } catch (const error &problem) {
                    refused += problem.kind() == error_kind::BadRequest ? 1 : 0;
                }
            };
            countRefusal([](const auto &value) { announcementFromJson(value); });
            countRefusal([](const auto &value) { heartbeatFromJson(value); });
            countRefusal([](const auto &value) { announceReplyFromJson(value); });
            countRefusal([](const auto &value) { digestFromJson(value); });
            countRefusal([](const auto &value) { digestAckFromJson(value); });
            check(refused == 5);
        }
    });
}
