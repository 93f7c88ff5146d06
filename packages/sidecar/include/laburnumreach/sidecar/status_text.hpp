#ifndef LABURNUMREACH_SIDECAR_STATUS_TEXT_HPP
#define LABURNUMREACH_SIDECAR_STATUS_TEXT_HPP

#include <boost/beast/http/status.hpp>
#include <string_view>

namespace laburnumreach::sidecar
{

/// Returns the reason phrase of a status code.
inline std::string_view status_text(int status)
{
    namespace beast_http = boost::beast::http;
    const boost::beast::string_view text =
        beast_http::obsolete_reason(beast_http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

} // namespace laburnumreach::sidecar

#endif
