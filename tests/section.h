// Nested sections for Criterion: a test reads as a story, and a failure names its path.
#pragma once

#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace zinniabarrow::tests {

inline std::vector<std::string> &sectionPath()
{
    static std::vector<std::string> path;
    return path;
}

inline std::string sectionName()
{
    std::string name;
    for (const auto &part : sectionPath())
        name += (name.empty() ? "" : " > ") + part;
    return name;
}

// Runs `body` under `title`; an exception or a failed `check` inside prints the whole path.
template <typename Body>
void section(const std::string &title, Body &&body)
{
    sectionPath().push_back(title);
    try {
        body();
    } catch (const std::exception &problem) {
        const std::string text = sectionName() + ": " + problem.what();
        sectionPath().pop_back();
        cr_assert_fail("%s", text.c_str());
    }
    sectionPath().pop_back();
}

} // namespace zinniabarrow::tests

// Fails the test (and goes on with it) with the section's path and the condition's text.
#define check(condition) /* NOLINT(readability-identifier-naming) */                               \
    cr_expect((condition), "%s: %s", ::zinniabarrow::tests::sectionName().c_str(), #condition)

// The same, and ends the test: for conditions without which the rest makes no sense.
#define require(condition) /* NOLINT(readability-identifier-naming) */                             \
    cr_assert((condition), "%s: %s", ::zinniabarrow::tests::sectionName().c_str(), #condition)
