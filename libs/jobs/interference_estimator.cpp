#include "jobs/interference_estimator.h"

#include <algorithm>

namespace zinniabarrow::jobs {

namespace {

constexpr double MaxLoad = 0.98; // a tail latency beyond it only says that the queue is growing
constexpr std::size_t NotFound = static_cast<std::size_t>(-1);

std::size_t coefficientIndexOf(const std::vector<std::string> &names, const std::string &name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? NotFound : static_cast<std::size_t>(found - names.begin()) + 1;
}

// Whether the expected change goes at least as far as `change`, in the same direction.
bool reachesBound(double expected, double change)
{
    return change >= 0 ? expected >= change : expected <= change;
}

} // namespace

double loadOf(double tailLatencyMs, double floorMs)
{
    if (tailLatencyMs <= floorMs)
        return 0;
    return std::min(MaxLoad, 1 - floorMs / tailLatencyMs);
}

interference_estimator::interference_estimator(const estimator_settings &settings)
    : m_settings(settings)
{ }

interference_estimator::image_estimate &
interference_estimator::estimateFor(const std::string &servingImage)
{
    auto &estimate = m_estimates[servingImage];
    if (estimate.coefficients.size() == 0) {
        estimate.coefficients.addCoefficient(m_settings.priorBaseLoad,
                                             m_settings.baseLoadDeviation);
        estimate.baseLoad = m_settings.priorBaseLoad;
    }
    return estimate;
}

std::size_t interference_estimator::findOrAddIndex(image_estimate &estimate,
                                                   const std::string &bestEffortImage)
{
    const auto known = coefficientIndexOf(estimate.bestEffortImages, bestEffortImage);
    if (known != NotFound || estimate.bestEffortImages.size() >= m_settings.maxImages)
        return known;
    estimate.bestEffortImages.push_back(bestEffortImage);
    return estimate.coefficients.addCoefficient(m_settings.priorLoadPerCore,
                                                m_settings.priorDeviation);
}

// The inputs of the estimate's coefficients. Input 0, of the base load, is left at 0.
std::vector<double> interference_estimator::coresByIndex(image_estimate &estimate,
                                                         const cores_by_image &bestEffortCores)
{
    std::vector<std::pair<std::size_t, double>> present;
    for (const auto &[image, coresInUse] : bestEffortCores) {
        const auto index = findOrAddIndex(estimate, image);
        if (index != NotFound)
            present.emplace_back(index, coresInUse);
    }
    std::vector<double> inputs(estimate.coefficients.size(), 0.0);
    for (const auto &[index, coresInUse] : present)
        inputs[index] = coresInUse;
    return inputs;
}

void interference_estimator::learn(const interference_sample &sample)
{
    if (sample.tailLatencyMs <= 0 || sample.latencyTargetMs <= 0)
        return; // no requests served yet
    if (!m_estimates.contains(sample.image) && m_estimates.size() >= m_settings.maxImages)
        return;
    auto &estimate = estimateFor(sample.image);
    updateFloorAndTarget(estimate, sample);
    if (sample.change)
        learnChange(estimate, sample);
    else
        learnLevel(estimate, sample);
}

void interference_estimator::learnLevel(image_estimate &estimate, const interference_sample &sample)
{
    auto inputs = coresByIndex(estimate, sample.bestEffortCores);
    inputs[0] = 1;
    const double load = loadOf(static_cast<double>(sample.tailLatencyMs), estimate.floorMs);
    updateCoefficients(estimate, inputs, load, m_settings.levelNoise);
    estimate.baseLoad = estimate.coefficients.mean(0);
}

void interference_estimator::learnChange(image_estimate &estimate,
                                         const interference_sample &sample)
{
    const auto inputs = coresByIndex(estimate, sample.change->bestEffortCores);
    const double change = sample.change->inverseTailDrop * estimate.floorMs;
    if (!sample.change->isLowerBound
        || !reachesBound(estimate.coefficients.predict(inputs), change))
        updateCoefficients(estimate, inputs, change, m_settings.changeNoise);
    // The part of the load that the neighbours don't explain is the image's own.
    double ownLoad = loadOf(static_cast<double>(sample.tailLatencyMs), estimate.floorMs);
    for (const auto &[bestEffortImage, cores] : sample.bestEffortCores)
        ownLoad -= loadPerCore(sample.image, bestEffortImage) * cores;
    constexpr double Weight =
            0.02; // of the newest sample: about the last minute on one worker counts
    estimate.baseLoad += Weight * (std::max(0.0, ownLoad) - estimate.baseLoad);
}

void interference_estimator::updateFloorAndTarget(image_estimate &estimate,
                                                  const interference_sample &sample)
{
    constexpr double FloorFraction = 0.9; // even the lowest measured tail includes some load
    const double floor = FloorFraction * static_cast<double>(sample.tailLatencyMs);
    if (estimate.floorMs <= 0 || floor < estimate.floorMs)
        estimate.floorMs = floor;
    estimate.latencyTargetMs = static_cast<double>(sample.latencyTargetMs);
}

void interference_estimator::updateCoefficients(image_estimate &estimate,
                                                const std::vector<double> &inputs, double load,
                                                double noise) const
{
    // The tail only says that the load is at least this high, which is already expected.
    if (load >= MaxLoad && estimate.coefficients.predict(inputs) >= load)
        return;
    estimate.coefficients.update(inputs, load, noise);
    estimate.coefficients.clampToMinimum(0); // neighbours never speed a run up
    estimate.coefficients.applyForgetting(
            m_settings.forgettingFactor); // interference changes over time
}

double interference_estimator::loadPerCore(const std::string &servingImage,
                                           const std::string &bestEffortImage) const
{
    const auto estimate = m_estimates.find(servingImage);
    if (estimate == m_estimates.end())
        return m_settings.priorLoadPerCore;
    const auto index = coefficientIndexOf(estimate->second.bestEffortImages, bestEffortImage);
    return index == NotFound ? m_settings.priorLoadPerCore
                             : estimate->second.coefficients.mean(index);
}

double interference_estimator::baseLoad(const std::string &servingImage) const
{
    const auto estimate = m_estimates.find(servingImage);
    return estimate == m_estimates.end() ? m_settings.priorBaseLoad : estimate->second.baseLoad;
}

double interference_estimator::loadAtTarget(const std::string &servingImage) const
{
    constexpr double DefaultLoadAtTarget = 0.8; // a target is usually about five times the floor
    const auto estimate = m_estimates.find(servingImage);
    if (estimate == m_estimates.end() || estimate->second.latencyTargetMs <= 0)
        return DefaultLoadAtTarget;
    return loadOf(estimate->second.latencyTargetMs, estimate->second.floorMs);
}

interference_table interference_estimator::table() const
{
    interference_table interference;
    for (const auto &[servingImage, estimate] : m_estimates) {
        interference[servingImage].floorMs = estimate.floorMs;
        for (std::size_t index = 0; index < estimate.bestEffortImages.size(); ++index)
            interference[servingImage].loadsPerCore[estimate.bestEffortImages[index]] =
                    estimate.coefficients.mean(index + 1);
    }
    return interference;
}

} // namespace zinniabarrow::jobs
