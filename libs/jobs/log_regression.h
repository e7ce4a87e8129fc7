// Straight line through the logarithms of pairs of positive numbers: what an estimate stands for.
// Where estimates are rough, a long one is followed by a less long run time and a short one by a
// less short run time, which the slope learns. Forgets like a ratio_histogram.
#pragma once

namespace zinniabarrow::jobs {

class log_regression
{
public:
    // Sums by which the line is kept and stored. All finite; `weight` and `xx` at least 0.
    struct moments
    {
        double weight = 0;
        double meanX = 0;
        double meanY = 0;
        double xx = 0; // weighted sum of squared deviations of x
        double xy = 0; // of products of the deviations of x and y
    };

    log_regression() = default;
    explicit log_regression(const moments &sums);

    void add(double x, double y, double weight); // x, y and weight above 0
    void merge(const log_regression &other);

    double weight() const { return m_sums.weight; }
    const moments &sums() const { return m_sums; }
    // The y that is expected for x. Its slope is 1 while little is known of it.
    double predict(double x) const;

private:
    void scaleTo(double weight);

    moments m_sums;
};

} // namespace zinniabarrow::jobs
