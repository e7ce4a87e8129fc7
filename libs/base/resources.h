// An amount of CPU, memory and accelerators.
#pragma once

#include <cstdint>

namespace zinniabarrow {

// Integers, so that sums of reservations have no rounding errors.
struct resources
{
    std::int64_t millicores = 0;   // thousandths of a CPU core
    std::int64_t bytes = 0;        // memory in bytes
    std::int64_t accelerators = 0; // whole devices

    resources &operator+=(const resources &other);
    resources &operator-=(const resources &other);
    friend resources operator+(resources left, const resources &right) { return left += right; }
    friend resources operator-(resources left, const resources &right) { return left -= right; }
    friend bool operator==(const resources &, const resources &) = default;

    // Returns whether every dimension is at most that of `capacity`.
    bool fitsIn(const resources &capacity) const;
    bool isNegative() const;
};

// Returns the larger value of each dimension.
resources maxOfEach(const resources &left, const resources &right);

} // namespace zinniabarrow
