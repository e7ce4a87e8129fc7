// zinniabarrow_standin platform|worker|upstream: prints its address as one JSON line, then serves
// until SIGTERM or SIGINT.
#include <csignal>
#include <cstdio>
#include <iostream>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "base/errors.h"
#include "standins/standin.h"

using namespace zinniabarrow;
using namespace zinniabarrow::standins;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

std::unique_ptr<standin> startStandin(const std::string &kind, int argumentCount, char **arguments)
{
    TCLAP::CmdLine command("zinniabarrow stand-in: " + kind, ' ', "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to serve on", false, "127.0.0.1:0",
                                        "ip:port", command);
    TCLAP::ValueArg<std::string> id("", "id", "name in answers and traces", false, kind, "name",
                                    command);
    TCLAP::ValueArg<int> workMs("", "work-ms", "upstream: service time of a request", false, 5,
                                "ms", command);
    TCLAP::ValueArg<unsigned> writes("", "writes", "platform: rows accepted per second", false, 500,
                                     "rows", command);
    TCLAP::ValueArg<std::int64_t> millicores("", "millicores", "worker: size in the trace", false,
                                             16'000, "n", command);
    TCLAP::ValueArg<std::int64_t> bytes("", "bytes", "worker: size in the trace", false,
                                        60'000'000'000, "n", command);
    TCLAP::ValueArg<std::string> worker("", "worker", "upstream: worker on the same instance",
                                        false, "", "ip:port", command);
    command.parse(argumentCount, arguments);
    const auto address = parseAddress(listen.getValue());
    if (kind == "platform")
        return startPlatform({address, writes.getValue()});
    if (kind == "worker")
        return startWorker({address, id.getValue(), millicores.getValue(), bytes.getValue()});
    if (kind == "upstream") {
        upstream_options options{address, id.getValue()};
        options.workTime = milliseconds(workMs.getValue());
        if (!worker.getValue().empty())
            options.workerAddress = parseAddress(worker.getValue());
        return startUpstream(options);
    }
    return nullptr;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    // Before any thread starts, so that all threads inherit the mask.
    sigprocmask(SIG_BLOCK, &stopSignals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const std::string kind = argumentCount > 1 ? arguments[1] : "";
        const auto running = startStandin(kind, argumentCount - 1, arguments + 1);
        if (!running) {
            fmt::print(stderr, "usage: zinniabarrow_standin platform|worker|upstream [options]\n");
            return ExitUsage;
        }
        fmt::print("{{\"event\":\"listening\",\"address\":\"{}\"}}\n", toText(running->address()));
        std::fflush(stdout);
        int stopSignal = 0;
        sigwait(&stopSignals, &stopSignal);
        std::_Exit(ExitOk); // a stand-in needs no graceful shutdown
    } catch (const error &failure) {
        fmt::print(stderr, "{}\n", failure.what());
        return ExitFailed;
    }
}
