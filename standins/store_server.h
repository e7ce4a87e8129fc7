// The store of a job_platform on its event loop, with faults: it is unavailable, silent or slow, or
// answers get lost. Used on the loop's thread only.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_listener.h"
#include "standins/row_store.h"
#include "standins/run_history.h"

namespace zinniabarrow::standins {

class store_server
{
public:
    store_server(net::event_loop &loop, const socket_address &address, run_history &history);

    // Carries out the next writes and ends their connections without answers.
    void loseWriteAnswers(int writeCount);
    void setUnavailable(bool isUnavailable); // answers 503 without any effect
    // Takes calls and neither carries them out nor answers them. Once it isn't silent any more it
    // carries them out in the order of their arrival.
    void setSilent(bool isSilent);
    void setDelay(milliseconds delay); // before each call is carried out
    // Drops every interval-th answer; its connection stays open for a while. 0: none.
    void loseAnswers(int interval);
    // Calls `onWrite` when the lease row with key `lease` is written next, and delays the answers
    // to writes of that row for `answerDelay` from then on.
    void atLeaseWrite(const std::string &lease, milliseconds answerDelay,
                      std::function<void()> onWrite);

private:
    // A lease row that a request writes.
    struct written_lease
    {
        std::string key;
        std::int64_t epoch = 0;
    };
    struct held_call
    {
        http_request request;
        net::responder reply;
    };

    void accept(http_request request, net::responder reply);
    void serve(const http_request &request, net::responder reply, int retriesLeft);
    void finish(const http_request &request, net::responder reply);
    void recordWrites(const http_request &request, const std::optional<written_lease> &lease);
    static std::optional<written_lease> leaseWrittenBy(const http_request &request);

    net::event_loop &m_loop;
    run_history &m_history;
    row_store m_rows;
    int m_writeAnswersToLose = 0;
    int m_lostAnswerInterval = 0;
    int m_answerCount = 0; // since answers began to get lost
    bool m_isUnavailable = false;
    bool m_isSilent = false;
    milliseconds m_delay{0};
    std::vector<held_call> m_heldCalls; // taken while it was silent
    std::string m_triggerLease;         // key of a lease row; empty: none
    std::function<void()> m_onTrigger;
    milliseconds m_triggeredDelay{0};
    std::string m_delayedLease;  // key of the lease row whose write answers are delayed
    time_point m_delayedUntil{}; // end of that delay
    net::http_listener m_listener;
};

} // namespace zinniabarrow::standins
