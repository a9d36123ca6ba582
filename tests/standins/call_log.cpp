#include "call_log.h"

#include <boost/json.hpp>

#include <fstream>
#include <stdexcept>

namespace dandelionstall::standins {

namespace json = boost::json;

namespace {

std::chrono::microseconds microsOf(const json::value &line, std::string_view key)
{
    return std::chrono::microseconds(line.at(key).to_number<std::int64_t>());
}

std::string textOf(const json::value &line, std::string_view key)
{
    return json::value_to<std::string>(line.at(key));
}

} // namespace

bool isUseful(const call_record &record)
{
    return record.status == 200 && record.body == "own" && record.answered - record.due <= record.deadline;
}

std::string formatCall(const call_record &record)
{
    const json::object line{
        {"id", record.id},
        {"class", record.requestClass},
        {"node", record.node},
        {"worker", record.worker},
        {"idempotent", record.idempotent},
        {"worth", record.worth},
        {"due_us", record.due.count()},
        {"sent_us", record.sent.count()},
        {"answered_us", record.answered.count()},
        {"cost_us", record.cost.count()},
        {"deadline_us", record.deadline.count()},
        {"status", record.status},
        {"reason", record.reason},
        {"run", record.run},
        {"body", record.body},
        {"retry_after", record.retryAfter},
        {"states_limit", record.statesLimit},
        {"states_leaving", record.statesLeaving},
    };
    return json::serialize(line);
}

call_record parseCall(const std::string &text)
{
    try {
        const json::value line = json::parse(text);
        call_record record;
        record.id = textOf(line, "id");
        record.requestClass = textOf(line, "class");
        record.node = textOf(line, "node");
        record.worker = textOf(line, "worker");
        record.idempotent = line.at("idempotent").as_bool();
        record.worth = line.at("worth").to_number<double>();
        record.due = microsOf(line, "due_us");
        record.sent = microsOf(line, "sent_us");
        record.answered = microsOf(line, "answered_us");
        record.cost = microsOf(line, "cost_us");
        record.deadline = microsOf(line, "deadline_us");
        record.status = line.at("status").to_number<std::uint32_t>();
        record.reason = textOf(line, "reason");
        record.run = textOf(line, "run");
        record.body = textOf(line, "body");
        record.retryAfter = line.at("retry_after").as_bool();
        record.statesLimit = line.at("states_limit").as_bool();
        record.statesLeaving = line.at("states_leaving").as_bool();
        return record;
    } catch (const std::exception &error) {
        throw std::invalid_argument("malformed line in call log: " + std::string(error.what()));
    }
}

std::vector<call_record> readCallLog(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    std::vector<call_record> records;
    for (std::string line; std::getline(file, line);) {
        records.push_back(parseCall(line));
    }
    return records;
}

} // namespace dandelionstall::standins
