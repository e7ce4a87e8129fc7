// Entries, agents, one upstream behind each, the table and a caller, on a virtual clock. Every
// message is a numbered step, and a fault may hit any step.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "base/random.h"
#include "delivery/attempt_guard.h"
#include "delivery/flow_json.h"
#include "delivery/request_flow.h"
#include "platform/memory_platform.h"

namespace zinniabarrow::tests {

using namespace zinniabarrow::delivery;

enum class fault {
    None,
    EntryDies,           // the entry of this step: it and what is under way to it are gone
    EntryFreezes,        // for three seconds, longer than every deadline here
    AgentDies,           // all agents are replaced, their upstreams live on
    AnswerLost,          // the step takes effect, its answer never comes
    SecondAnswerArrives, // a commit is sent twice by the network, the second answer arrives
    Duplicated,          // at once
    Delayed,             // three seconds, longer than every deadline here
    DuplicatedLate,      // again half a second later
    TableRefuses,        // for two seconds
    TableHangs,          // for two seconds: answers are Unknown, nothing applies
    WriteDelayed,        // a commit is answered Unknown and applies 700 ms later
    Last
};

class delivery_simulation
{
public:
    flow_settings settings;
    std::map<int, fault> faults;                // by step
    std::set<std::string> refusingAgents{"a1"}; // agents that are full
    std::set<std::string> disconnectingAgents;  // agents whose connections break in the answer
    bool streaming = false; // answers are large: their head comes before their end
    memory_platform platform;
    std::map<std::string, int> runs;           // by request id
    std::map<std::string, int> runsByOrder;    // by order: the key, or the request without one
    std::set<std::string> overlappingRequests; // requests that ran twice at once
    std::map<std::string, std::vector<refuse_request>> refusals; // by request id
    std::map<std::string, std::vector<std::string>>
            answers; // by request id: "passed", "replayed" or the kind
    std::map<std::string, time_point> answeredAt;
    std::map<std::string, time_point> sentAt;
    std::map<std::string, std::string> entryOf;  // by request id
    std::map<std::string, std::string> orderOf;  // by request id
    std::map<std::string, std::uint64_t> counts; // by name of the counter
    std::map<std::string, time_point> drainedAt; // by entry
    std::set<std::string> deadEntries;
    std::uint64_t tableCalls = 0; // commits, reads and scans that were sent
    std::uint64_t transactions = 0;
    std::uint64_t rowsWritten = 0;
    std::vector<std::string> trace; // JSON lines of entry `traced`
    std::string tracedEntry;
    int step = 0;
    time_point now{};

    // The caller sends one try to `entry` at `when`.
    void send(const std::string &id, const std::string &entry, milliseconds when,
              const std::string &method, const std::string &key, std::uint64_t bodyHash = 1,
              milliseconds patience = milliseconds(1000))
    {
        entryOf[id] = entry;
        sentAt[id] = time_point(when);
        orderOf[id] = key.empty() ? id : key;
        post(entry, time_point(when) - now, [=, this](fault) {
            event(entry, request_arrived{id, "tickets", method, "/hold/" + key, "kartli", key,
                                         bodyHash, time_point(when) + patience});
        });
    }

    void drain(const std::string &entry, milliseconds when)
    {
        post(entry, time_point(when) - now,
             [=, this](fault) { event(entry, flow_drain_started{}); });
    }

    void runUntil(milliseconds end)
    {
        while (true) {
            const auto wake = nextWake();
            const auto next = m_messages.empty() ? Never : m_messages.begin()->first;
            if (std::min(wake.first, next) > time_point(end))
                break;
            const auto last = std::exchange(now, std::max(now, std::min(wake.first, next)));
            m_eventsAtSameTime = now == last ? m_eventsAtSameTime + 1 : 0;
            if (m_eventsAtSameTime > 10'000)
                throw error(error_kind::Internal, "time stands still: a wake that does nothing");
            if (wake.first < next)
                event(wake.second, flow_tick{});
            else
                deliverNext();
        }
        now = time_point(end);
    }

    request_flow &flow(const std::string &entry)
    {
        const auto alive = [this](const std::string &id) { return !deadEntries.contains(id); };
        return m_flows
                .try_emplace(
                        entry, entry, settings, [](error_kind) { return true; }, alive)
                .first->second;
    }

private:
    using effect = std::function<void(fault)>;
    struct message
    {
        std::string entry;
        effect deliver;
    };

    void post(const std::string &entry, duration delay, effect deliver)
    {
        m_messages.emplace(now + delay, message{entry, std::move(deliver)});
    }

    bool isFrozen(const std::string &entry) const
    {
        return m_frozenUntil.contains(entry) && now < m_frozenUntil.at(entry);
    }

    std::pair<time_point, std::string> nextWake()
    {
        std::pair<time_point, std::string> first{Never, ""};
        for (auto &[entry, each] : m_flows) {
            auto wake = std::max(each.nextWake(), now);
            if (isFrozen(entry))
                wake = std::max(wake, m_frozenUntil.at(entry));
            if (!deadEntries.contains(entry) && wake < first.first)
                first = {wake, entry};
        }
        return first;
    }

    void deliverNext()
    {
        const auto item = m_messages.begin()->second;
        m_messages.erase(m_messages.begin());
        const auto found = faults.find(++step);
        const auto activeFault = found == faults.end() ? fault::None : found->second;
        if (activeFault == fault::EntryDies)
            deadEntries.insert(item.entry);
        if (activeFault == fault::EntryFreezes)
            m_frozenUntil[item.entry] = now + seconds(3);
        if (activeFault == fault::AgentDies) {
            m_guards.clear();
            ++m_incarnation;
        }
        if (activeFault == fault::TableRefuses || activeFault == fault::TableHangs) {
            m_tableFault = activeFault;
            m_tableFaultUntil = now + seconds(2);
        }
        if (activeFault == fault::Delayed)
            return post(item.entry, seconds(3), item.deliver);
        if (activeFault == fault::DuplicatedLate)
            post(item.entry, milliseconds(500), item.deliver);
        if (activeFault == fault::Duplicated)
            item.deliver(activeFault);
        item.deliver(activeFault);
    }

    void event(const std::string &entry, const flow_event &event)
    {
        if (deadEntries.contains(entry))
            return;
        if (isFrozen(entry)) {
            post(entry, m_frozenUntil.at(entry) - now,
                 [=, this](fault) { this->event(entry, event); });
            return;
        }
        const auto actions = flow(entry).handle(event, now);
        if (entry == tracedEntry)
            record(toJson(event, now));
        for (const auto &action : actions) {
            if (entry == tracedEntry)
                record(toJson(action, now));
            std::visit([&](const auto &each) { perform(entry, each); }, action);
        }
    }

    void record(Json::Value line)
    {
        line["at_ms"] = Json::Int64(millisecondsUntil(now, time_point{}));
        trace.push_back(compactJson(line));
    }

    void perform(const std::string &entry, const choose_upstream &action)
    {
        std::vector<std::string> agents{"a1", "a2"};
        for (const auto &agent : action.excluded)
            std::erase(agents, agent);
        const auto answer = agents.empty() ? flow_event(no_upstream_available{action.id})
                                           : upstream_chosen{action.id, agents.front()};
        post(entry, milliseconds(0), [=, this](fault) { event(entry, answer); });
    }

    void perform(const std::string &entry, const forward_request &action)
    {
        const auto incarnation = m_incarnation;
        const auto remaining = milliseconds(millisecondsUntil(action.deadline, now));
        post(entry, milliseconds(1), [=, this](fault activeFault) {
            const auto ended = [=, this](const attempt_outcome &outcome) {
                const bool lost = activeFault == fault::AnswerLost || incarnation != m_incarnation
                                  || disconnectingAgents.contains(action.agentId);
                const attempt_outcome seen = lost ? attempt_outcome(attempt_cut{}) : outcome;
                post(entry, milliseconds(1), [=, this](fault) {
                    event(entry, attempt_ended{action.id, action.attempt, seen});
                });
            };
            const auto refused = [=](const guard_refusal &refusal) {
                ended(attempt_refused{refusal.kind, refusal.ran, refusal.hasEnded,
                                      milliseconds(0)});
            };
            // Entry and agent have each their own clock: what travels is the time that remains.
            const incoming_attempt incoming{action.id, action.attempt, incarnation, false,
                                            now + remaining};
            if (const auto refusal = guard(action.agentId).admitAttempt(incoming, now))
                return refused(*refusal);
            if (refusingAgents.contains(action.agentId)) {
                guard(action.agentId).recordEnd(action.id, action.attempt, executed::No, now);
                return refused({error_kind::QueueFull, executed::No, true});
            }
            post(entry, milliseconds(5), [=, this](fault) {
                if (const auto refusal =
                            guard(action.agentId).startAttempt(action.id, action.attempt, now))
                    return refused(*refusal);
                ++runs[action.id];
                if (++m_running[action.id] > 1)
                    overlappingRequests.insert(action.id);
                ++runsByOrder[orderOf[action.id]];
                post(entry, milliseconds(20), [=, this](fault) {
                    if (streaming)
                        return stream(entry, action, ended);
                    --m_running[action.id];
                    guard(action.agentId).recordEnd(action.id, action.attempt, executed::Yes, now);
                    ended(complete_answer{201, {}, action.id.size(), action.id});
                });
            });
        });
    }

    // The head and the first part at once, the end of the body 40 ms later.
    template <typename Ended>
    void stream(const std::string &entry, const forward_request &action, const Ended &ended)
    {
        post(entry, milliseconds(1), [=, this](fault) {
            event(entry, answer_started{action.id, action.attempt, 201});
        });
        post(entry, milliseconds(40), [=, this](fault) {
            --m_running[action.id];
            guard(action.agentId).recordEnd(action.id, action.attempt, executed::Yes, now);
            ended(complete_answer{201, {}, 1U << 20U, std::nullopt});
        });
    }

    void perform(const std::string &entry, const cancel_attempt &action)
    {
        post(entry, milliseconds(1), [=, this](fault) {
            guard(action.agentId).cancelAttempt(action.id, action.attempt, now);
        });
    }

    void perform(const std::string &, const answer_caller &action)
    {
        const auto *refusal = std::get_if<refuse_request>(&action.answer);
        if (refusal != nullptr)
            refusals[action.id].push_back(*refusal);
        const bool replayed = std::holds_alternative<replay_answer>(action.answer);
        answers[action.id].emplace_back(refusal != nullptr ? nameOf(refusal->kind)
                                        : replayed         ? "replayed"
                                                           : "passed");
        answeredAt[action.id] = now;
    }

    void perform(const std::string &entry, const commit_claims &action)
    {
        ++tableCalls;
        post(entry, milliseconds(1), [=, this](fault activeFault) {
            const bool down = now < m_tableFaultUntil;
            write_result result;
            if (down && m_tableFault == fault::TableRefuses)
                result.outcome = write_outcome::Refused;
            else if (activeFault == fault::WriteDelayed)
                post(entry, milliseconds(700), [=, this](fault) { commit(action.transaction); });
            else if (!down)
                result = commit(action.transaction);
            if (activeFault == fault::SecondAnswerArrives)
                result = commit(action.transaction);
            if (activeFault == fault::AnswerLost)
                result = write_result{};
            const bool slow = result.outcome == write_outcome::Unknown;
            post(entry, milliseconds(slow ? 300 : 1), [=, this](fault) {
                event(entry, claims_committed{action.transaction.operationId, result});
            });
        });
    }

    write_result commit(const table_transaction &transaction)
    {
        ++transactions;
        const auto result = platform.commit(transaction);
        if (result.outcome == write_outcome::Applied)
            rowsWritten += transaction.writes.size();
        return result;
    }

    void perform(const std::string &entry, const read_claims &action)
    {
        answerRead(entry, action.readId, [=, this] {
            std::vector<table_row> rows;
            for (const auto &key : action.keys) {
                if (const auto row = platform.read(key))
                    rows.push_back(*row);
            }
            return rows;
        });
    }

    void perform(const std::string &entry, const scan_claims &action)
    {
        answerRead(entry, action.readId, [=, this] { return platform.scan(action.prefix); });
    }

    void answerRead(const std::string &entry, const std::string &readId,
                    const std::function<std::vector<table_row>()> &read)
    {
        ++tableCalls;
        post(entry, milliseconds(1), [=, this](fault activeFault) {
            const bool failed = now < m_tableFaultUntil || activeFault == fault::AnswerLost;
            const claims_read answer{readId, !failed, failed ? std::vector<table_row>() : read()};
            post(entry, milliseconds(failed ? 300 : 1), [=, this](fault) { event(entry, answer); });
        });
    }

    void perform(const std::string &, const increment_counter &action)
    {
        counts[std::string(nameOf(action.counter))] += action.amount;
    }

    void perform(const std::string &entry, const flow_drained &) { drainedAt[entry] = now; }

    attempt_guard &guard(const std::string &agent)
    {
        return m_guards.try_emplace(agent, m_incarnation, guard_settings{}).first->second;
    }

    std::map<std::string, request_flow> m_flows;
    std::map<std::string, attempt_guard> m_guards;
    std::multimap<time_point, message> m_messages;
    std::map<std::string, time_point> m_frozenUntil;
    std::uint64_t m_incarnation = 1;
    std::map<std::string, int> m_running; // by request id
    int m_eventsAtSameTime = 0;           // events without time going on
    fault m_tableFault = fault::None;
    time_point m_tableFaultUntil{};
};

} // namespace zinniabarrow::tests
