#ifndef LABURNUMREACH_SIDECAR_HTTP_STATUS_HPP
#define LABURNUMREACH_SIDECAR_HTTP_STATUS_HPP

/// Status codes that the sidecar sends or acts on.
namespace laburnumreach::sidecar::http_status
{

inline constexpr int switching_protocols = 101;
inline constexpr int ok = 200;
inline constexpr int no_content = 204;
inline constexpr int bad_request = 400;
inline constexpr int unauthorized = 401;
inline constexpr int not_found = 404;
inline constexpr int request_timeout = 408;
inline constexpr int payload_too_large = 413;
inline constexpr int misdirected = 421;
inline constexpr int too_many_requests = 429;
inline constexpr int head_too_large = 431;
inline constexpr int first_server_error = 500;
inline constexpr int bad_gateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gateway_timeout = 504;

} // namespace laburnumreach::sidecar::http_status

#endif
