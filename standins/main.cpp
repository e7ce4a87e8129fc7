// zinniabarrow_standin platform|worker|upstream: prints its address as one JSON line, then serves
// until SIGTERM.
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

constexpr int Done = 0;
constexpr int Failed = 1;
constexpr int Usage = 2;

std::unique_ptr<standin> startNamed(const std::string &kind, int count, char **words)
{
    TCLAP::CmdLine command("zinniabarrow stand-in: " + kind, ' ', "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to serve on", false, "127.0.0.1:0",
                                        "ip:port", command);
    TCLAP::ValueArg<std::string> id("", "id", "name in answers and traces", false, kind, "name",
                                    command);
    TCLAP::ValueArg<int> workMs("", "work-ms", "upstream: time of one request", false, 5, "ms",
                                command);
    TCLAP::ValueArg<unsigned> writes("", "writes", "platform: rows written a second", false, 500,
                                     "rows", command);
    TCLAP::ValueArg<std::int64_t> millicores("", "millicores", "worker: size in the trace", false,
                                             16'000, "n", command);
    TCLAP::ValueArg<std::int64_t> bytes("", "bytes", "worker: size in the trace", false,
                                        60'000'000'000, "n", command);
    TCLAP::ValueArg<std::string> worker("", "worker", "upstream: worker on the same instance",
                                        false, "", "ip:port", command);
    command.parse(count, words);
    const auto address = parseAddress(listen.getValue());
    if (kind == "platform")
        return startPlatform({address, writes.getValue()});
    if (kind == "worker")
        return startWorker({address, id.getValue(), millicores.getValue(), bytes.getValue()});
    if (kind == "upstream") {
        upstream_options options{address, id.getValue()};
        options.work = milliseconds(workMs.getValue());
        if (!worker.getValue().empty())
            options.worker = parseAddress(worker.getValue());
        return startUpstream(options);
    }
    return nullptr;
}

} // namespace

int main(int count, char **words)
{
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    sigprocmask(SIG_BLOCK, &stops, nullptr); // before any thread starts, so that all inherit it
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const std::string kind = count > 1 ? words[1] : "";
        const auto running = startNamed(kind, count - 1, words + 1);
        if (!running) {
            fmt::print(stderr, "usage: zinniabarrow_standin platform|worker|upstream [options]\n");
            return Usage;
        }
        fmt::print("{{\"event\":\"listening\",\"address\":\"{}\"}}\n", toText(running->address()));
        std::fflush(stdout);
        int stopSignal = 0;
        sigwait(&stops, &stopSignal);
        std::_Exit(Done); // a stand-in owes nobody a graceful stop
    } catch (const error &problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return Failed;
    }
}
