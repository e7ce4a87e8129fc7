// Nested sections for Criterion. A failure message contains the titles of all enclosing sections.
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

// Runs `body` under `title`. An exception or a failed `check` inside prints the path of titles.
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

// Reports a failure with the section path and the text of the condition; the test continues.
#define check(condition) /* NOLINT(readability-identifier-naming) */                               \
    cr_expect((condition), "%s: %s", ::zinniabarrow::tests::sectionName().c_str(), #condition)

// Like check(), but ends the test: for conditions that the rest depends on.
#define require(condition) /* NOLINT(readability-identifier-naming) */                             \
    cr_assert((condition), "%s: %s", ::zinniabarrow::tests::sectionName().c_str(), #condition)
