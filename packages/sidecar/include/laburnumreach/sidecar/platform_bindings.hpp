#ifndef LABURNUMREACH_SIDECAR_PLATFORM_BINDINGS_HPP
#define LABURNUMREACH_SIDECAR_PLATFORM_BINDINGS_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/sidecar/header_names.hpp"
#include "laburnumreach/sidecar/instance_state.hpp"
#include "laburnumreach/sidecar/routing_config.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace laburnumreach::sidecar
{

/// The instance has ended or is about to end; it gets no new calls.
struct instance_deregistration
{
    std::string id;
};

/// A request to the control address that is not a valid announcement.
struct invalid_announcement
{
    std::string reason;
};

/// A request of an upstream to the control address.
using announcement = std::variant<instance_heartbeat, instance_deregistration, invalid_announcement>;

/// Header names and message decoders of the platform. Contains no logic of the sidecar.
struct platform_bindings
{
    header_names headers;
    std::function<core::result<std::shared_ptr<const routing_config>>(const std::string& document)>
        decode_config;
    std::function<announcement(std::string_view method, std::string_view target, std::string_view body)>
        decode_announcement;
    std::string acknowledgement;        ///< Body of the response to an announcement.
    std::string acknowledgement_fields; ///< Serialized header fields of that response.
};

} // namespace laburnumreach::sidecar

#endif
