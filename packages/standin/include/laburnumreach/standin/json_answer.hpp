#ifndef LABURNUMREACH_STANDIN_JSON_ANSWER_HPP
#define LABURNUMREACH_STANDIN_JSON_ANSWER_HPP

#include <httplib.h>
#include <string>

namespace laburnumreach::standin
{

/// Sets the status and a JSON body.
inline void answer_json(httplib::Response& response, int status, const std::string& text)
{
    response.status = status;
    response.set_content(text, "application/json");
}

/// Sets the status and a body {"error":"<message>"}.
void answer_error(httplib::Response& response, int status, const std::string& message);

} // namespace laburnumreach::standin

#endif
