// An amount of processor, memory and accelerators.
#pragma once

#include <cstdint>

namespace zinniabarrow {

// Integers only: sums of reservations never drift by rounding.
struct resources
{
    std::int64_t millicores = 0;   // thousandths of a processor
    std::int64_t bytes = 0;        // memory
    std::int64_t accelerators = 0; // whole devices

    resources &operator+=(const resources &other);
    resources &operator-=(const resources &other);
    friend resources operator+(resources left, const resources &right) { return left += right; }
    friend resources operator-(resources left, const resources &right) { return left -= right; }
    friend bool operator==(const resources &, const resources &) = default;

    // True when every dimension is at most that of `room`.
    bool fitsIn(const resources &capacity) const;
    bool isNegative() const;
};

// The larger of the two in each dimension.
resources maxOfEach(const resources &left, const resources &right);

} // namespace zinniabarrow
