#include "jobs/order_calls.h"

#include <utility>

namespace zinniabarrow::jobs {

namespace {

void addCalls(order_batch batch, std::size_t maxBytes, order_calls &result)
{
    auto text = toText(batch);
    if (text.size() <= maxBytes)
        return result.calls.push_back({std::move(text), std::move(batch.orders)});
    if (batch.orders.size() <= 1)
        return result.tooLarge.push_back({std::move(text), std::move(batch.orders)});
    for (auto &half : halvesOf(batch.orders)) {
        batch.orders = std::move(half);
        addCalls(batch, maxBytes, result);
    }
}

} // namespace

order_calls makeOrderCalls(order_batch batch, std::size_t maxBytes)
{
    order_calls result;
    addCalls(std::move(batch), maxBytes, result);
    return result;
}

std::vector<std::vector<run_order>> halvesOf(const std::vector<run_order> &orders)
{
    const auto middle = orders.begin() + static_cast<std::ptrdiff_t>(orders.size() / 2);
    return {{orders.begin(), middle}, {middle, orders.end()}};
}

} // namespace zinniabarrow::jobs
