#ifndef LABURNUMREACH_DAEMON_ANNOUNCEMENT_HPP
#define LABURNUMREACH_DAEMON_ANNOUNCEMENT_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/http/endpoint.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumreach::daemon
{

/// What an upstream says about itself every second.
struct announcement
{
    std::string service;
    std::string instance;
    http::endpoint address;
    std::uint32_t slots = 1;
    std::string zone;
    bool draining = false;
    double load = 0.0; ///< A hint in [0, 1].
};

/// Parses and checks the JSON body of an announcement.
/// @returns invalid_argument with the reason
core::result<announcement> parse_announcement(std::string_view body);

} // namespace laburnumreach::daemon

#endif
