#ifndef LABURNUMREACH_STANDIN_LOOPBACK_ADDRESS_HPP
#define LABURNUMREACH_STANDIN_LOOPBACK_ADDRESS_HPP

#include "laburnumreach/core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumreach::standin
{

/// An IPv4 loopback address with a port. The test programs neither listen on nor send to anything else.
struct loopback_address
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;

    friend bool operator==(const loopback_address&, const loopback_address&) = default;
};

/// Checks that the text is an IPv4 number in 127.0.0.0/8.
core::result<std::string> parse_loopback_ip(std::string_view text);

/// Parses "<ip>:<port>" and refuses addresses that are not loopback.
core::result<loopback_address> parse_loopback_address(std::string_view text);

} // namespace laburnumreach::standin

#endif
