// Embeds one component as a library: admission control in front of your own server.
//
// The component only decides. The program passes the time (here simulated) and does the network I/O
// (here left out).
#include <string>
#include <variant>

#include <fmt/core.h>

#include "zinniabarrow/zinniabarrow.h"

using namespace zinniabarrow;
using request::admission;

namespace {

void printActions(const std::vector<admission::action> &actions)
{
    for (const auto &action : actions) {
        if (const auto *start = std::get_if<admission::start>(&action)) {
            fmt::print("start {}\n", start->id);
        } else {
            const auto &refusal = std::get<admission::refuse>(action);
            fmt::print("refuse {}: {}, retry after {} ms\n", refusal.id, nameOf(refusal.errorKind),
                       refusal.retryAfter.count());
        }
    }
}

} // namespace

int main()
{
    request::admission_settings settings;
    settings.slots = 1;
    settings.queueLimit = 1;
    admission controller(settings);

    time_point now{};
    const auto submitRequest = [&](const std::string &id, milliseconds timeLimit) {
        printActions(controller.handle(
                admission::arrived{id, "tickets", "families", 0, now + timeLimit}, now));
    };
    submitRequest("a", milliseconds(1000)); // the slot is free
    submitRequest("b", milliseconds(1000)); // waits in the queue
    submitRequest("c", milliseconds(5));    // can't be completed within 5 ms: refused immediately
    now += milliseconds(10);
    printActions(controller.handle(admission::finished{"a", milliseconds(10)}, now)); // b starts
    return 0;
}
