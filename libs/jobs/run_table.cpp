#include "jobs/run_table.h"

#include <algorithm>
#include <utility>

#include "jobs/worker_pool.h"

namespace zinniabarrow::jobs {

namespace {

task_size countedSize(const run_traits &traits)
{
    return jobs::countedSize(traits.size, traits.fills);
}

double coresOf(std::int64_t millicores)
{
    return static_cast<double>(millicores) / 1000;
}

} // namespace

run_table::run_table(const run_table_settings &settings)
    : m_settings(settings)
{ }

void run_table::setWorker(const task_size &capacity, start_readiness readiness)
{
    m_capacity = capacity;
    m_readiness = readiness;
}

void run_table::setEpoch(std::int64_t epoch)
{
    m_epoch = epoch;
}

void run_table::setAgentLife(std::int64_t life)
{
    m_agentLife = life;
}

void run_table::clear()
{
    std::erase_if(m_runs, [](const auto &entry) { return entry.second.phase != run_phase::Ended; });
    // The next life numbers its ends anew: it must not be told to forget by numbers of before.
    for (auto &[key, entry] : m_runs)
        entry.end.number = 0;
    m_highestEnd = 0;
    m_epoch = 0;
}

void run_table::run_entry::belongsTo(const std::string &entry)
{
    owner = entry;
    endToAll = false;
}

bool run_table::run_entry::isToldOnlyTo(const std::string &entry) const
{
    return owner == entry && !endToAll;
}

bool run_table::run_entry::endGoesTo(const std::string &entry) const
{
    return owner.empty() || endToAll || owner == entry;
}

order_answer run_table::take(const run_order &order, const std::string &owner, time_point now)
{
    return order.kind == order_kind::Start ? start(order, owner, now) : stop(order, owner, now);
}

order_answer run_table::start(const run_order &order, const std::string &owner, time_point now)
{
    const run_key key{order.task, order.run};
    const auto answer = [&](order_outcome outcome) {
        return order_answer{order.task, order.run, outcome};
    };
    if (m_epoch == 0)
        return answer(order_outcome::NotReady);
    const auto known = m_runs.find(key);
    if (known != m_runs.end()) {
        if (known->second.phase == run_phase::Ended && !known->second.isToldOnlyTo(owner))
            ++m_endsSeen; // news to this owner
        known->second.claimed = true;
        known->second.belongsTo(owner);
        known->second.traits = order.traits;
        known->second.tellsStart = order.tellsStart;
        known->second.startBy = std::max(known->second.startBy, startBy(order, now));
        return answer(order_outcome::Accepted);
    }
    // An order of an earlier epoch comes from an owner that was away: its task runs elsewhere by
    // now, and starting it here would run it twice.
    if (order.epoch != m_epoch) {
        refuse(key, now);
        return answer(order_outcome::WrongEpoch);
    }
    if (refused(key) || isCancelled(order.task.job) || hasNewerRun(key))
        return answer(order_outcome::Superseded);
    if (m_readiness == start_readiness::Closed) {
        refuse(key, now);
        return answer(order_outcome::Draining);
    }
    if (m_readiness == start_readiness::Later || !complete())
        return answer(order_outcome::NotReady);
    // An earlier life of this agent may have told that the run never starts, and its task may run
    // elsewhere by now. That is forgotten here, while an order can be on its way for seconds.
    if (order.agentLife != 0 && order.agentLife != m_agentLife) {
        refuse(key, now);
        return answer(order_outcome::OtherLife);
    }
    // Nothing is remembered: the same run is started by an order that comes in time.
    if (startBy(order, now) <= now)
        return answer(order_outcome::Overdue);
    if (!hasRoom(order)) {
        refuse(key, now);
        return answer(order_outcome::NoRoom);
    }
    auto &entry = m_runs[key];
    entry.traits = order.traits;
    entry.claimed = true;
    entry.belongsTo(owner);
    entry.payload = order.payload;
    entry.checkpoint = order.checkpoint;
    entry.tellsStart = order.tellsStart;
    entry.startBy = startBy(order, now);
    return answer(order_outcome::Accepted);
}

time_point run_table::startBy(const run_order &order, time_point now) const
{
    const auto latest = now + m_settings.startWithin;
    if (order.holdsUntilMs == 0)
        return latest;
    return std::min<time_point>(latest, time_point(milliseconds(order.holdsUntilMs)));
}

order_answer run_table::stop(const run_order &order, const std::string &owner, time_point now)
{
    const run_key key{order.task, order.run};
    const auto answer = [&](order_outcome outcome) {
        return order_answer{order.task, order.run, outcome, order_kind::Stop};
    };
    const auto known = m_runs.find(key);
    if (m_epoch == 0)
        return answer(order_outcome::NotReady);
    if (known == m_runs.end()) {
        refuse(key, now);
        // What an earlier life of this agent was stopping may be there yet, in neither list.
        const bool mayBeThere = m_readiness == start_readiness::Later;
        return answer(mayBeThere ? order_outcome::NotReady : order_outcome::Superseded);
    }
    auto &entry = known->second;
    entry.belongsTo(owner);
    // A stop tells no sizes: the run stays unclaimed, and nothing is started beside it before it
    // has ended. Otherwise a run that an earlier life of the agent started would count as nothing.
    stopEntry(key, entry, now);
    return answer(order_outcome::Accepted);
}

int run_table::cancelled(const std::string &job, time_point now)
{
    m_cancelled[job] = now + m_settings.keepCancels;
    int stopped = 0;
    const task_id first{job, 0, 0, 0};
    for (auto at = m_runs.lower_bound({first, 0}); at != m_runs.end(); ++at) {
        auto &[key, entry] = *at;
        if (key.first.job != job)
            break;
        stopped += stopEntry(key, entry, now) ? 1 : 0;
    }
    return stopped;
}

void run_table::startCalled(const task_id &task, int run, std::int64_t deadlineMs)
{
    const auto known = m_runs.find({task, run});
    if (known == m_runs.end())
        return;
    known->second.startUntilMs = std::max(known->second.startUntilMs, deadlineMs);
    ++known->second.openCalls;
}

void run_table::startAnswered(const task_id &task, int run, start_answer answer, time_point now)
{
    const auto known = m_runs.find({task, run});
    if (known == m_runs.end())
        return;
    auto &entry = known->second;
    if (answer == start_answer::Started)
        entry.startUntilMs = 0; // also of one that is being stopped: its end will be listed
    if (entry.phase != run_phase::Starting)
        return;
    if (answer == start_answer::Started)
        entry.phase = run_phase::Running;
    if (answer == start_answer::Refused || answer == start_answer::Unhealthy)
        entry.openCalls = std::max(0, entry.openCalls - 1);
    // Another call without an answer may have started it, or may still. Only the worker's own
    // list, read after the calls' deadlines, says that it never ran.
    if (answer == start_answer::Refused) {
        entry.repeatAt = Never;
        if (entry.openCalls == 0)
            neverStarted(known->first, entry);
    }
    if (answer == start_answer::Unhealthy)
        entry.repeatAt = now + m_settings.repeatStart;
}

void run_table::look(const run_listing &listing, time_point now)
{
    for (const auto &listed : listing.running) {
        const run_key key{listed.task, listed.run};
        const auto known = m_runs.find(key);
        if (known == m_runs.end() && refused(key)) {
            m_strays.insert(key);
            continue;
        }
        auto &entry = m_runs[key];
        if (known == m_runs.end())
            entry.claimUntil = now + m_settings.claimWithin;
        if (entry.phase == run_phase::Starting)
            entry.phase = run_phase::Running;
        entry.startUntilMs = 0; // what comes of it is in the list of ends
        entry.checkpoint = listed.checkpoint;
        entry.measured = listed.measured;
        if (isCancelled(key.first.job))
            stopEntry(key, entry, now);
    }
    const auto seenUpTo = m_highestEnd;
    for (const auto &end : listing.ended)
        ended(end, seenUpTo, now);
    for (auto &[key, entry] : m_runs) {
        const bool mayStart =
                entry.phase == run_phase::Starting || entry.phase == run_phase::Stopping;
        if (mayStart && entry.startUntilMs > 0 && listing.clockMs > entry.startUntilMs)
            neverStarted(key, entry);
    }
}

void run_table::neverStarted(const run_key &key, run_entry &entry)
{
    entry.phase = run_phase::Ended;
    entry.end = {0, key.first, key.second, end_kind::NeverStarted, ""};
    ++m_endsSeen;
}

// No call may still take effect, or the worker's list will tell what became of the last.
void run_table::giveUpStart(const run_key &key, run_entry &entry)
{
    entry.repeatAt = Never;
    if (entry.openCalls == 0)
        neverStarted(key, entry);
}

void run_table::stopAll(time_point now)
{
    for (auto &[key, entry] : m_runs)
        stopEntry(key, entry, now);
}

// A run that the worker was never told of is in neither of its lists, ever: told to stop, it would
// count as running for good, and the next epoch, which begins once nothing runs, never would.
bool run_table::stopEntry(const run_key &key, run_entry &entry, time_point now)
{
    if (entry.phase == run_phase::Ended || entry.phase == run_phase::Stopping)
        return false;
    if (entry.phase == run_phase::Starting && entry.openCalls == 0) {
        neverStarted(key, entry);
        return true;
    }
    entry.phase = run_phase::Stopping;
    entry.repeatAt = now;
    return true;
}

void run_table::ownerSilent(const std::string &owner)
{
    for (auto &[key, entry] : m_runs) {
        if (entry.owner == owner)
            entry.endToAll = true;
    }
}

void run_table::ended(const run_end &end, std::int64_t seenUpTo, time_point now)
{
    const run_key key{end.task, end.run};
    m_highestEnd = std::max(m_highestEnd, end.number);
    const auto known = m_runs.find(key);
    // Acknowledged before: the worker will forget it with the next look. One that was not listed
    // before is news, whatever was thought of its run.
    if (known == m_runs.end() && refused(key) && end.number <= seenUpTo)
        return;
    auto &entry = m_runs[key];
    if (entry.phase != run_phase::Ended)
        ++m_endsSeen;
    entry.phase = run_phase::Ended;
    entry.end = end;
    refuse(key, now);
}

bool run_table::acknowledged(const acknowledged_end &end, time_point now)
{
    const auto known = m_runs.find({end.task, end.run});
    if (known == m_runs.end() || known->second.phase != run_phase::Ended
        || known->second.end.how != end.how)
        return false;
    refuse(known->first, now);
    m_runs.erase(known);
    return true;
}

bool run_table::notOwned(const acknowledged_end &end, const std::string &owner)
{
    const auto known = m_runs.find({end.task, end.run});
    if (known == m_runs.end() || known->second.owner != owner)
        return false;
    return !std::exchange(known->second.endToAll, true);
}

std::vector<run_action> run_table::due(time_point now, bool mayStart)
{
    std::vector<run_action> actions;
    // Told again as long as they are listed: with an entry here they would count as running for
    // good if they had ended meanwhile.
    for (const auto &[task, run] : std::exchange(m_strays, {}))
        actions.emplace_back(stop_run{task, run});
    for (auto &[key, entry] : m_runs) {
        if (!entry.claimed && entry.phase == run_phase::Running && now >= entry.claimUntil) {
            entry.phase = run_phase::Stopping;
            entry.repeatAt = now;
        }
        if (entry.repeatAt > now)
            continue;
        if (entry.phase == run_phase::Starting && now >= entry.startBy)
            giveUpStart(key, entry);
        else if (entry.phase == run_phase::Starting && mayStart) {
            entry.repeatAt = now + m_settings.repeatStart;
            actions.emplace_back(start_run{key.first, key.second, entry.payload, entry.checkpoint,
                                           entry.startBy});
        }
        if (entry.phase == run_phase::Stopping) {
            entry.repeatAt = now + m_settings.repeatStop;
            actions.emplace_back(stop_run{key.first, key.second});
        }
    }
    std::erase_if(m_refused, [&](const auto &entry) { return entry.second.keepUntil <= now; });
    std::erase_if(m_cancelled, [&](const auto &entry) { return entry.second <= now; });
    return actions;
}

std::int64_t run_table::lastSeen() const
{
    auto lowest = m_highestEnd + 1;
    for (const auto &[key, entry] : m_runs) {
        if (entry.phase == run_phase::Ended && entry.end.number > 0)
            lowest = std::min(lowest, entry.end.number);
    }
    return lowest - 1;
}

task_size run_table::used() const
{
    task_size sum;
    for (const auto &[key, entry] : m_runs) {
        if (entry.phase != run_phase::Ended)
            sum += countedSize(entry.traits);
    }
    return sum;
}

task_size run_table::lasting() const
{
    task_size sum;
    for (const auto &[key, entry] : m_runs) {
        if (entry.phase != run_phase::Ended && entry.traits.lasting)
            sum += countedSize(entry.traits);
    }
    return sum;
}

std::int64_t run_table::fillMillicores() const
{
    std::int64_t sum = 0;
    for (const auto &[key, entry] : m_runs) {
        if (entry.phase != run_phase::Ended && entry.traits.fills)
            sum += entry.traits.size.millicores;
    }
    return sum;
}

bool run_table::complete() const
{
    return std::all_of(m_runs.begin(), m_runs.end(), [](const auto &entry) {
        return entry.second.claimed || entry.second.phase == run_phase::Ended;
    });
}

std::size_t run_table::running() const
{
    return static_cast<std::size_t>(
            std::count_if(m_runs.begin(), m_runs.end(), [](const auto &entry) {
                return entry.second.phase != run_phase::Ended;
            }));
}

bool run_table::hasEndsOfTheGone() const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [](const auto &entry) {
        const auto &run = entry.second;
        return run.phase == run_phase::Ended && run.end.number == 0
               && run.end.how != end_kind::NeverStarted;
    });
}

std::vector<serving_sample> run_table::servingNow() const
{
    std::vector<serving_sample> samples;
    for (const auto &[key, entry] : m_runs) {
        if (entry.phase == run_phase::Running && entry.traits.targetMs > 0)
            samples.push_back({key.first, key.second, entry.traits.image, entry.measured,
                               entry.traits.targetMs});
    }
    return samples;
}

std::vector<filling_run> run_table::fillingNow() const
{
    std::vector<filling_run> runs;
    for (const auto &[key, entry] : m_runs) {
        if (entry.phase != run_phase::Running || !entry.traits.fills)
            continue;
        const auto declared = coresOf(entry.traits.size.millicores);
        runs.push_back(
                {key.first, key.second, entry.traits.image, coresOf(entry.measured), declared});
    }
    return runs;
}

std::vector<run_end> run_table::endsFor(const std::string &owner) const
{
    std::vector<run_end> ends;
    for (const auto &[key, entry] : m_runs) {
        if (entry.phase == run_phase::Ended && entry.endGoesTo(owner))
            ends.push_back(entry.end);
    }
    return ends;
}

std::vector<run_progress> run_table::progressFor(const std::string &owner) const
{
    std::vector<run_progress> progress;
    for (const auto &[key, entry] : m_runs) {
        if (entry.phase == run_phase::Running && entry.owner == owner && !entry.checkpoint.empty())
            progress.push_back({key.first, key.second, entry.checkpoint});
    }
    return progress;
}

std::vector<started_run> run_table::startedFor(const std::string &owner) const
{
    std::vector<started_run> runs;
    for (const auto &[key, entry] : m_runs) {
        if (entry.tellsStart && entry.phase == run_phase::Running && entry.owner == owner)
            runs.push_back({key.first, key.second});
    }
    return runs;
}

void run_table::startsTold(const std::vector<started_run> &runs, const std::string &owner)
{
    for (const auto &run : runs) {
        const auto known = m_runs.find({run.task, run.run});
        if (known != m_runs.end() && known->second.owner == owner)
            known->second.tellsStart = false;
    }
}

void run_table::refuse(const run_key &key, time_point now)
{
    auto &last = m_refused[key.first];
    last.upTo = std::max(last.upTo, key.second);
    last.keepUntil = now + m_settings.keepRefusals;
}

bool run_table::refused(const run_key &key) const
{
    const auto found = m_refused.find(key.first);
    return found != m_refused.end() && found->second.upTo >= key.second;
}

bool run_table::hasNewerRun(const run_key &key) const
{
    const auto next = m_runs.upper_bound(key);
    return next != m_runs.end() && next->first.first == key.first;
}

bool run_table::isCancelled(const std::string &job) const
{
    return m_cancelled.contains(job);
}

bool run_table::hasRoom(const run_order &order) const
{
    auto sum = used();
    sum += countedSize(order.traits);
    return sum.fitsInto(m_capacity);
}

} // namespace zinniabarrow::jobs
