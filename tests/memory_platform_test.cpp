// Tests of the in-memory table that other tests use as a fake of the platform.
#include "platform/memory_platform.h"
#include "section.h"

using namespace zinniabarrow;
using tests::section;

Test(memory_platform, transactions)
{
    memory_platform platform;
    section("a row that must not exist yet is written once", [&] {
        const table_transaction create{"op-1", {{"a", 0}}, {{"a", Json::Value(1)}}};
        check(platform.commit(create).outcome == write_outcome::Applied);
        const auto again = platform.commit(create);
        check(again.outcome == write_outcome::Conflict);
        check(again.conflictKey == "a");
    });
    section("one failed condition prevents all writes", [&] {
        const auto before = platform.sequence();
        const table_transaction both{
                "op-2", {{"a", before}, {"b", 7}}, {{"a", Json::Value(2)}, {"b", Json::Value(2)}}};
        check(platform.commit(both).outcome == write_outcome::Conflict);
        check(platform.read("a")->value == Json::Value(1));
        check(!platform.read("b"));
        check(platform.sequence() == before);
    });
    section("a write increases the version, so that a stale writer gets a conflict", [&] {
        const auto version = platform.read("a")->version;
        const table_transaction next{"op-3", {{"a", version}}, {{"a", Json::Value(3)}}};
        check(platform.commit(next).outcome == write_outcome::Applied);
        check(platform.commit(next).outcome == write_outcome::Conflict);
    });
}
