#include "laburnumreach/standin/json_answer.hpp"

#include <nlohmann/json.hpp>

namespace laburnumreach::standin
{

void answer_error(httplib::Response& response, int status, const std::string& message)
{
    answer_json(response, status, nlohmann::json{{"error", message}}.dump());
}

} // namespace laburnumreach::standin
