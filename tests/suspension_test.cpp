// Tests that no task runs on two workers when a machine is suspended, whenever and for however
// long: a machine with its agent and worker, the store, and an entry that watches the lease, on
// virtual clocks.
#include <algorithm>
#include <optional>

#include <criterion/criterion.h>
#include <fmt/core.h>

#include "app/worker_clock.h"
#include "base/errors.h"
#include "jobs/outage_evidence.h"
#include "jobs/worker_lease.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr std::int64_t StoreMsAtStart = 70'000;
constexpr std::int64_t WorkerMsAtStart = 5'000;
constexpr milliseconds Step{10};
constexpr milliseconds PollInterval{100};
constexpr milliseconds UnheardAfter{2500}; // watchers read the lease from then on
constexpr milliseconds Length{20'000};

// From `from` on, up to but not including `until`, both counted from Start.
struct interval
{
    milliseconds from{0};
    milliseconds until{0};

    bool contains(milliseconds at) const { return at >= from && at < until; }
};

struct scenario
{
    interval cut;          // the machine reaches neither the store nor an entry
    interval storeAway;    // for all
    interval suspended;    // the machine
    double workerRate = 1; // of the worker's clock
    milliseconds longestSuspension = MaxSuspension; // by the settings
};

struct outcome
{
    milliseconds twiceFor{0}; // a run goes on although its lease was ended
    bool hasLapsed = false;   // the run ended as its hold did
    bool wasLeaseEnded = false;
};

// One run on the worker, from the start on. Each step the watcher acts first, as it may.
class simulation
{
public:
    explicit simulation(const scenario &scenario)
        : m_scenario(scenario)
        , m_lease("agent", scenario.longestSuspension)
    {
        m_lease.noteStoreClock(storeMs(), now(), now());
        m_lease.acquireFence();
        runActions();
        m_lease.reconcile("a", false, now());
        runActions();
    }

    outcome play()
    {
        for (; m_at < Length; m_at += Step) {
            if (m_at >= m_checkAt && !m_outcome.wasLeaseEnded && isStoreUp())
                checkLease();
            if (isSuspended())
                continue;
            m_awake += Step;
            m_outcome.hasLapsed = m_outcome.hasLapsed || workerMs() >= m_holdMs;
            if (m_outcome.wasLeaseEnded && !m_outcome.hasLapsed)
                m_outcome.twiceFor += Step;
            runAgent();
        }
        return m_outcome;
    }

private:
    time_point now() const { return Start + m_at; }
    std::int64_t storeMs() const { return StoreMsAtStart + m_at.count(); }
    // Stands while the machine is suspended.
    std::int64_t workerMs() const
    {
        return WorkerMsAtStart
               + static_cast<std::int64_t>(static_cast<double>(m_awake.count())
                                           * m_scenario.workerRate);
    }
    bool isSuspended() const { return m_scenario.suspended.contains(m_at); }
    bool isCut() const { return m_scenario.cut.contains(m_at); }
    bool isStoreUp() const { return !m_scenario.storeAway.contains(m_at); }

    void checkLease()
    {
        const bool isUnheard = isSuspended() || isCut();
        if (!isUnheard) {
            m_checkAt = m_at + UnheardAfter;
            return;
        }
        const bool wasAway =
                m_scenario.storeAway.until > milliseconds(0) && m_at >= m_scenario.storeAway.until;
        const auto graceUntil = wasAway ? Start + m_scenario.storeAway.until
                                                  + outageGrace(m_scenario.longestSuspension)
                                        : time_point::min();
        const auto verdict =
                m_detector.observe("w", m_row, m_version, storeMs(), now(), graceUntil);
        m_outcome.wasLeaseEnded = verdict.isExpired;
        m_checkAt = std::chrono::ceil<milliseconds>(verdict.checkAgainAt - Start);
    }

    void runAgent()
    {
        const bool reachesStore = !isCut() && isStoreUp() && !m_outcome.wasLeaseEnded;
        if (reachesStore && m_at >= m_renewAt) {
            m_evidence.forgetAll();
            m_renewAt = m_at + LeaseRenewInterval;
            m_lease.renew(now());
            runActions();
        }
        if (!isCut() && !isStoreUp())
            m_evidence.noteAnswer("entry", {false}, now());
        if (m_at < m_pollAt)
            return;
        m_pollAt = m_at + PollInterval;
        // As the last answer told it, or by a reading before a suspension.
        if (!m_workerClock.isKnown())
            m_workerClock.setReading(workerMs(), now());
        const auto limit = holdLimit(m_lease.validUntil(), m_scenario.longestSuspension,
                                     m_evidence.isStoreAwayForEntries(now()));
        if (now() < limit) {
            const auto until = std::min<time_point>(limit, now() + HoldAhead);
            m_holdMs = std::max(m_holdMs, m_workerClock.millisecondsAt(until));
        }
        m_workerClock.setReading(workerMs(), now());
    }

    void runActions()
    {
        for (auto actions = m_lease.takeActions(); !actions.empty();
             actions = m_lease.takeActions()) {
            for (const auto &action : actions) {
                if (std::holds_alternative<read_lease>(action))
                    m_lease.rowRead(std::nullopt, 0, now());
                if (const auto *write = std::get_if<write_lease>(&action)) {
                    m_row = write->row;
                    m_lease.noteStoreClock(storeMs(), now(), now());
                    m_lease.rowWritten(++m_version, now());
                }
            }
        }
    }

    static constexpr milliseconds HoldAhead{5000}; // of a poll, at most

    scenario m_scenario;
    milliseconds m_at{0};
    milliseconds m_awake{0};
    worker_lease m_lease;
    worker_clock m_workerClock;
    outage_evidence m_evidence;
    lease_expiry_detector m_detector;
    lease_row m_row;
    std::int64_t m_version = 0;
    std::int64_t m_holdMs = WorkerMsAtStart + PollInterval.count(); // on the worker's clock
    milliseconds m_renewAt{0};
    milliseconds m_pollAt{0};
    milliseconds m_checkAt{0};
    outcome m_outcome;
};

// Plays the scenario with each beginning and length of a suspension, in steps of 0.1 s.
void checkAllSuspensions(scenario scenario)
{
    constexpr milliseconds Interval{100};
    int playCount = 0;
    int twiceCount = 0;
    milliseconds longestTwice{0};
    for (milliseconds from{0}; from < seconds(14); from += Interval) {
        for (auto length = Interval; length <= scenario.longestSuspension; length += Interval) {
            scenario.suspended = {from, from + length};
            const auto result = simulation(scenario).play();
            ++playCount;
            twiceCount += result.twiceFor > milliseconds(0) ? 1 : 0;
            longestTwice = std::max(longestTwice, result.twiceFor);
        }
    }
    cr_expect(twiceCount == 0, "%s: twice at work in %d of %d plays, for %d ms at most",
              tests::sectionName().c_str(), twiceCount, playCount,
              static_cast<int>(longestTwice.count()));
}

} // namespace

// Guards against a task at work on two workers. Its machine is cut off and suspended meanwhile, its
// worker's clock stands, and the worker goes on at the wake, when watchers have started the task
// elsewhere.
Test(suspension, of_a_machine_that_is_cut_off)
{
    for (const auto cutAt : {milliseconds(1000), milliseconds(1250), milliseconds(1490)}) {
        for (const double workerRate : {1.0, 0.98}) {
            section(fmt::format("cut at {} ms, worker's clock at {}", cutAt.count(), workerRate),
                    [&] {
                        scenario scenario;
                        scenario.cut = {cutAt, cutAt + seconds(12)};
                        scenario.workerRate = workerRate;
                        checkAllSuspensions(scenario);
                    });
        }
    }
}

// The same when the store is away for all, and comes back while the machine is suspended. Runs go
// on during the outage, as nobody can end a lease.
Test(suspension, during_an_outage_of_the_store)
{
    for (const auto awayAt : {milliseconds(1000), milliseconds(1250), milliseconds(1490)}) {
        for (const auto length : {milliseconds(3000), milliseconds(4500), milliseconds(9000)}) {
            section(fmt::format("away at {} ms for {} ms", awayAt.count(), length.count()), [&] {
                scenario scenario;
                scenario.storeAway = {awayAt, awayAt + length};
                checkAllSuspensions(scenario);
            });
        }
    }
}

// Guards against holds that end too early: each run that lapses is work lost.
Test(suspension, runs_go_on_where_they_can)
{
    section("while the store is away for 6 s for all", [] {
        scenario scenario;
        scenario.storeAway = {milliseconds(1490), milliseconds(7490)};
        check(!simulation(scenario).play().hasLapsed);
    });
    section("while the machine is cut off for 3 s", [] {
        scenario scenario;
        scenario.cut = {milliseconds(1490), milliseconds(4490)};
        check(!simulation(scenario).play().hasLapsed);
    });
    section("while the machine is suspended, and nothing else happens", [] {
        scenario scenario;
        scenario.suspended = {milliseconds(1490), milliseconds(1490) + MaxSuspension};
        check(!simulation(scenario).play().hasLapsed);
    });
    section("where no machine is suspended, as long as the lease", [] {
        scenario scenario;
        scenario.longestSuspension = milliseconds(0);
        scenario.cut = {milliseconds(1490), milliseconds(7490)};
        check(!simulation(scenario).play().hasLapsed);
    });
}

// Guards against holds that outlast a lease since one entry could not reach the store: another one
// does, and may end the lease.
Test(suspension, answers_of_entries_about_the_store)
{
    outage_evidence evidence;
    check(!evidence.isStoreAwayForEntries(Start)); // nobody has answered: perhaps cut off
    evidence.noteAnswer("entry-0", {false}, Start);
    check(evidence.isStoreAwayForEntries(Start + milliseconds(500)));
    section("one that reaches it is enough", [&] {
        auto contradicted = evidence;
        contradicted.noteAnswer("entry-1", {true}, Start + milliseconds(100));
        check(!contradicted.isStoreAwayForEntries(Start + milliseconds(500)));
    });
    section("an answer to an earlier question doesn't replace a later one's", [&] {
        auto overtaken = evidence;
        overtaken.noteAnswer("entry-0", {true}, Start - milliseconds(400));
        check(overtaken.isStoreAwayForEntries(Start + milliseconds(500)));
    });
    section("an old answer tells nothing",
            [&] { check(!evidence.isStoreAwayForEntries(Start + seconds(1))); });
    section("as text", [] {
        check(!storeStateFrom(toText(store_state{false})).isReachable);
        check(storeStateFrom(toText(store_state{true})).isReachable);
        cr_assert_throw(storeStateFrom("{}"), error);
    });
}
