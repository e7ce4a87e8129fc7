// Threads for connections: as many as are in use, and none where the system gives none.
#include <atomic>
#include <future>
#include <system_error>

#include <criterion/criterion.h>

#include "runtime/growing_pool.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

// A process took 200 threads at its start for connections that never came; with a hundred such
// processes on a machine one could start none, and ended without a line.
Test(growing_pool, threads_as_they_are_needed)
{
    growing_pool pool(3, 1);
    std::promise<void> open;
    const auto opened = open.get_future().share();
    std::atomic<int> done{0};
    const auto wait = [&, opened] {
        opened.wait();
        ++done;
    };
    section("the spare ones at first", [&] { check(pool.threads() == 1); });
    section("one ahead of what runs", [&] {
        check(pool.enqueue(wait));
        check(pool.threads() == 2);
    });
    section("up to the bound", [&] {
        for (int count = 0; count < 4; ++count)
            check(pool.enqueue(wait));
        check(pool.threads() == 3);
    });
    section("all that was enqueued is done at the end", [&] {
        open.set_value();
        pool.shutdown();
        check(done == 5);
    });
    section("nothing is taken after it", [&] {
        check(!pool.enqueue(wait));
        check(pool.threads() == 0);
    });
}

// A caller's connection waits for ever behind others when no thread can be started for it.
Test(growing_pool, a_system_that_starts_no_more_threads)
{
    int left = 1;
    growing_pool pool(3, 0, [&](growing_pool::work loop) {
        if (left-- <= 0)
            throw std::system_error(
                    std::make_error_code(std::errc::resource_unavailable_try_again));
        return growing_pool::startThread(std::move(loop));
    });
    std::promise<void> open;
    const auto opened = open.get_future().share();
    std::atomic<int> done{0};
    const auto wait = [&, opened] {
        opened.wait();
        ++done;
    };
    section("what no thread can take is refused at once, what runs goes on", [&] {
        check(pool.enqueue(wait));
        check(!pool.enqueue(wait));
        open.set_value();
        pool.shutdown();
        check(done == 1);
    });
}
