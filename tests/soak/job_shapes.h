// What the tasks of a soak do on workers, as the callers' submissions say it.
#pragma once

#include <map>
#include <string>

#include <json/json.h>

#include "base/hash.h"
#include "base/json.h"
#include "jobs/model.h"
#include "soak/timeline.h"
#include "standins/run_history.h"

namespace zinniabarrow::soak {

// Used by one thread.
class job_shapes
{
public:
    explicit job_shapes(const timeline &record)
        : m_record(record)
    { }

    // A task works for half of its estimated time to one and a half times that.
    standins::task_shape shapeOf(const jobs::task_id &task)
    {
        if (!m_stepsByJob.contains(task.job))
            readSubmissions();
        const auto &step = m_stepsByJob[task.job][task.step];
        standins::task_shape shape;
        shape.millicores = step["cpu"].asInt64();
        const auto percent = 50 + static_cast<int>(stableHash(jobs::toText(task)) % 101);
        shape.workTime = milliseconds(step["estimate-ms"].asInt64() * percent / 100);
        shape.gangSize = step["gang"].asBool() ? step["count"].asInt() : 0;
        shape.isLongRunning = step["long-running"].asBool();
        shape.isSpeculative = step["speculative"].asBool();
        return shape;
    }

private:
    void readSubmissions()
    {
        const auto items = m_record.itemsFrom(m_itemsRead);
        m_itemsRead += items.size();
        for (const auto &item : items) {
            const auto *request = std::get_if<request_sent>(&item.event);
            if (request != nullptr && request->method == "POST")
                m_stepsByJob[request->job] = parseJson(request->body)["steps"];
        }
    }

    const timeline &m_record;
    std::size_t m_itemsRead = 0;
    std::map<std::string, Json::Value> m_stepsByJob;
};

} // namespace zinniabarrow::soak
