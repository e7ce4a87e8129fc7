// Simulation of entries, agents with one upstream each, the table and callers, on a virtual clock.
// Every message is a numbered step, and any step can be combined with a fault.
//
// An order is what callers want to have executed once: all requests with the same idempotency key
// belong to one order, and a request without a key is an order of its own.
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
    EntryDies,        // the entry of this step; from now on, messages to it are lost
    EntryFreezes,     // for three seconds, longer than every deadline here
    AgentsDie,        // all agents are replaced, their upstreams keep running
    AnswerLost,       // the step takes effect, but its answer is lost
    OnlySecondResult, // a commit is duplicated, and only the second result arrives
    Duplicated,       // the step is executed twice at the same time
    Delayed,          // by three seconds, longer than every deadline here
    DuplicatedLate,   // a second copy arrives half a second later
    TableRefuses,     // for two seconds
    TableHangs,       // for two seconds: results are Unknown, nothing is applied
    WriteDelayed,     // the result of a commit is Unknown; it is applied 700 ms later
    Last              // not a fault: ends loops over all faults
};

// Runs real request_flows and attempt_guards. A test sets the faults, sends requests, calls
// runUntil() and checks the recorded answers and executions.
class delivery_simulation
{
public:
    flow_settings settings;
    std::map<int, fault> faults; // by step
    // Agents whose queue is full. By default a1, which is chosen first, so that each request is
    // retried at a2.
    std::set<std::string> refusingAgents{"a1"};
    // Agents whose connections break: they execute attempts, but the entry sees each attempt end as
    // disconnected.
    std::set<std::string> disconnectingAgents;
    bool hasLargeAnswers = false; // the head of an answer arrives before its end
    memory_platform platform;
    std::map<std::string, int> runs;           // executions, by request id
    std::map<std::string, int> runsByOrder;    // executions, by order
    std::set<std::string> overlappingRequests; // requests with two executions at the same time
    std::map<std::string, std::vector<refuse_request>> refusals; // by request id
    // By request id: "passed", "replayed" or the error kind.
    std::map<std::string, std::vector<std::string>> answers;
    std::map<std::string, time_point> answeredAt; // by request id
    std::map<std::string, time_point> sentAt;     // by request id
    std::map<std::string, std::string> entryOf;   // by request id
    // Order by request id: the key, or the request id if it has no key.
    std::map<std::string, std::string> orderOf;
    std::map<std::string, std::uint64_t> counts; // by counter name
    std::map<std::string, time_point> drainedAt; // by entry: when drain() was completed
    std::set<std::string> deadEntries;
    std::uint64_t tableCalls = 0;   // commits, reads and scans sent to the table
    std::uint64_t transactions = 0; // executed by the table, with or without conflict
    std::uint64_t rowsWritten = 0;
    std::vector<std::string> trace; // events and actions of tracedEntry as lines of JSON
    std::string tracedEntry;
    int step = 0; // number of the last step
    time_point now{};

    // A caller sends a request to `entry` at `when`.
    void send(const std::string &id, const std::string &entry, milliseconds when,
              const std::string &method, const std::string &key, std::uint64_t bodyHash = 1,
              milliseconds timeout = milliseconds(1000))
    {
        entryOf[id] = entry;
        sentAt[id] = time_point(when);
        orderOf[id] = key.empty() ? id : key;
        schedule(entry, time_point(when) - now, [=, this](fault) {
            handleEvent(entry, request_arrived{id, "tickets", method, "/hold/" + key, "kartli", key,
                                               bodyHash, time_point(when) + timeout});
        });
    }

    void drain(const std::string &entry, milliseconds when)
    {
        schedule(entry, time_point(when) - now,
                 [=, this](fault) { handleEvent(entry, flow_drain_started{}); });
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
                throw error(error_kind::Internal, "too many events without progress of the time: "
                                                  "nextWake() is never reached");
            if (wake.first < next)
                handleEvent(wake.second, flow_tick{});
            else
                deliverNext();
        }
        now = time_point(end);
    }

    request_flow &flow(const std::string &entry)
    {
        const auto isEntryAlive = [this](const std::string &id) {
            return !deadEntries.contains(id);
        };
        return m_flows
                .try_emplace(
                        entry, entry, settings, [](error_kind) { return true; }, isEntryAlive)
                .first->second;
    }

private:
    using delivery_callback = std::function<void(fault)>;
    struct message
    {
        std::string entry;
        delivery_callback deliver;
    };

    void schedule(const std::string &entry, duration delay, delivery_callback deliver)
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
        for (auto &[entry, entryFlow] : m_flows) {
            auto wake = std::max(entryFlow.nextWake(), now);
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
        if (activeFault == fault::AgentsDie) {
            m_guards.clear();
            ++m_incarnation;
        }
        if (activeFault == fault::TableRefuses || activeFault == fault::TableHangs) {
            m_tableFault = activeFault;
            m_tableFaultUntil = now + seconds(2);
        }
        if (activeFault == fault::Delayed)
            return schedule(item.entry, seconds(3), item.deliver);
        if (activeFault == fault::DuplicatedLate)
            schedule(item.entry, milliseconds(500), item.deliver);
        if (activeFault == fault::Duplicated)
            item.deliver(activeFault);
        item.deliver(activeFault);
    }

    void handleEvent(const std::string &entry, const flow_event &event)
    {
        if (deadEntries.contains(entry))
            return;
        if (isFrozen(entry)) {
            schedule(entry, m_frozenUntil.at(entry) - now,
                     [=, this](fault) { this->handleEvent(entry, event); });
            return;
        }
        const auto actions = flow(entry).handle(event, now);
        if (entry == tracedEntry)
            record(toJson(event, now));
        for (const auto &action : actions) {
            if (entry == tracedEntry)
                record(toJson(action, now));
            std::visit([&](const auto &details) { perform(entry, details); }, action);
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
        schedule(entry, milliseconds(0), [=, this](fault) { handleEvent(entry, answer); });
    }

    void perform(const std::string &entry, const forward_request &action)
    {
        const auto incarnation = m_incarnation;
        const auto remaining = milliseconds(millisecondsUntil(action.deadline, now));
        schedule(entry, milliseconds(1), [=, this](fault activeFault) {
            const auto ended = [=, this](const attempt_outcome &outcome) {
                const bool isLost = activeFault == fault::AnswerLost || incarnation != m_incarnation
                                    || disconnectingAgents.contains(action.agentId);
                const attempt_outcome receivedOutcome =
                        isLost ? attempt_outcome(attempt_disconnected{}) : outcome;
                schedule(entry, milliseconds(1), [=, this](fault) {
                    handleEvent(entry, attempt_ended{action.id, action.attempt, receivedOutcome});
                });
            };
            const auto refused = [=](const guard_refusal &refusal) {
                ended(attempt_refused{refusal.kind, refusal.executionState, refusal.hasEnded,
                                      milliseconds(0)});
            };
            // Entry and agent have separate clocks, so the remaining time is sent instead of the
            // deadline.
            const incoming_attempt incoming{action.id, action.attempt, incarnation, false,
                                            now + remaining};
            if (const auto refusal = guard(action.agentId).admitAttempt(incoming, now))
                return refused(*refusal);
            if (refusingAgents.contains(action.agentId)) {
                guard(action.agentId).recordEnd(action.id, action.attempt, executed::No, now);
                return refused({error_kind::QueueFull, executed::No, true});
            }
            schedule(entry, milliseconds(5), [=, this](fault) {
                if (const auto refusal =
                            guard(action.agentId).startAttempt(action.id, action.attempt, now))
                    return refused(*refusal);
                ++runs[action.id];
                if (++m_running[action.id] > 1)
                    overlappingRequests.insert(action.id);
                ++runsByOrder[orderOf[action.id]];
                schedule(entry, milliseconds(20), [=, this](fault) {
                    if (hasLargeAnswers)
                        return stream(entry, action, ended);
                    --m_running[action.id];
                    guard(action.agentId).recordEnd(action.id, action.attempt, executed::Yes, now);
                    ended(complete_answer{201, {}, action.id.size(), action.id});
                });
            });
        });
    }

    // The head and the first part of the body are sent at once, its end 40 ms later.
    template <typename Ended>
    void stream(const std::string &entry, const forward_request &action, const Ended &ended)
    {
        schedule(entry, milliseconds(1), [=, this](fault) {
            handleEvent(entry, answer_started{action.id, action.attempt, 201});
        });
        schedule(entry, milliseconds(40), [=, this](fault) {
            --m_running[action.id];
            guard(action.agentId).recordEnd(action.id, action.attempt, executed::Yes, now);
            ended(complete_answer{201, {}, 1U << 20U, std::nullopt});
        });
    }

    void perform(const std::string &entry, const cancel_attempt &action)
    {
        schedule(entry, milliseconds(1), [=, this](fault) {
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
        schedule(entry, milliseconds(1), [=, this](fault activeFault) {
            const bool isTableDown = now < m_tableFaultUntil;
            write_result result;
            if (isTableDown && m_tableFault == fault::TableRefuses) {
                result.outcome = write_outcome::Refused;
            } else if (activeFault == fault::WriteDelayed) {
                schedule(entry, milliseconds(700),
                         [=, this](fault) { commit(action.transaction); });
            } else if (!isTableDown) {
                result = commit(action.transaction);
            }
            if (activeFault == fault::OnlySecondResult)
                result = commit(action.transaction);
            if (activeFault == fault::AnswerLost)
                result = write_result{};
            const bool isSlow = result.outcome == write_outcome::Unknown;
            schedule(entry, milliseconds(isSlow ? 300 : 1), [=, this](fault) {
                handleEvent(entry, claims_committed{action.transaction.operationId, result});
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
        schedule(entry, milliseconds(1), [=, this](fault activeFault) {
            const bool failed = now < m_tableFaultUntil || activeFault == fault::AnswerLost;
            const claims_read answer{readId, !failed, failed ? std::vector<table_row>() : read()};
            schedule(entry, milliseconds(failed ? 300 : 1),
                     [=, this](fault) { handleEvent(entry, answer); });
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
    std::map<std::string, int> m_running; // executions in progress, by request id
    int m_eventsAtSameTime = 0;           // consecutive events at the same time
    fault m_tableFault = fault::None;
    time_point m_tableFaultUntil{};
};

} // namespace zinniabarrow::tests
