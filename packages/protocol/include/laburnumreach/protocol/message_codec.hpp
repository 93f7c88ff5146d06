#ifndef LABURNUMREACH_PROTOCOL_MESSAGE_CODEC_HPP
#define LABURNUMREACH_PROTOCOL_MESSAGE_CODEC_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <type_traits>
#include <vector>

namespace laburnumreach::protocol
{

/// Lists the fields of a message struct in wire order. Specialised for each struct that is sent.
///
/// A specialisation has `static auto fields(auto& message)` that returns std::tie of the fields.
template <typename Message>
struct message_layout;

/// A struct that has a message_layout.
template <typename Message>
concept wire_message = requires(Message& message)
{
    message_layout<Message>::fields(message);
};

/// Limits on a received message: a stated number of elements is allocated before they are read, and each
/// takes many times its size on the wire. A message_layout may state others.
struct decode_limits
{
    std::size_t max_elements = 65'536; ///< In one list.
    std::size_t max_depth = 32;
};

/// Returns the limits on a type of message.
template <typename Message>
constexpr decode_limits limits_of()
{
    if constexpr (requires { message_layout<Message>::limits; })
    {
        return message_layout<Message>::limits;
    }
    return {};
}

namespace detail
{

/// Appends an encoded message to a string.
struct appending_stream
{
    std::string* target;
    void write(const char* bytes, std::size_t size) { this->target->append(bytes, size); }
};

} // namespace detail

/// Appends a message as MessagePack to a string, without a further copy.
template <typename Message>
void append_message(std::string& target, const Message& message)
{
    detail::appending_stream stream{&target};
    msgpack::pack(stream, message);
}

/// Encodes a message as MessagePack.
template <typename Message>
std::vector<std::uint8_t> encode_message(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    const auto* begin = reinterpret_cast<const std::uint8_t*>(buffer.data());
    return {begin, begin + buffer.size()};
}

/// Decodes a message.
/// @returns no value when the bytes are not exactly one message of this type
template <typename Message>
std::optional<Message> decode_message(std::span<const std::uint8_t> bytes)
{
    try
    {
        std::size_t offset = 0;
        const auto* begin = reinterpret_cast<const char*>(bytes.data());
        constexpr decode_limits limits = limits_of<Message>();
        const std::size_t most = bytes.size();
        const std::size_t elements = std::min(most, limits.max_elements);
        const msgpack::unpack_limit limit{elements, elements, most, most, most, limits.max_depth};
        // Strings refer to the received bytes until they are converted, so they are copied once.
        const auto refer = [](msgpack::type::object_type, std::size_t, void*) { return true; };
        const msgpack::object_handle handle =
            msgpack::unpack(begin, bytes.size(), offset, refer, nullptr, limit);
        if (offset != bytes.size())
        {
            return std::nullopt;
        }
        return handle.get().as<Message>();
    }
    catch (const msgpack::unpack_error&)
    {
        return std::nullopt;
    }
    catch (const msgpack::type_error&)
    {
        return std::nullopt;
    }
}

} // namespace laburnumreach::protocol

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

    /// Durations are encoded as nanoseconds. Points in time are never sent: clocks of different VMs are
    /// unrelated.
    template <>
    struct pack<std::chrono::nanoseconds>
    {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& output, const std::chrono::nanoseconds& value) const
        {
            output.pack(static_cast<std::int64_t>(value.count()));
            return output;
        }
    };

    template <>
    struct convert<std::chrono::nanoseconds>
    {
        const msgpack::object& operator()(const msgpack::object& input, std::chrono::nanoseconds& value) const
        {
            value = std::chrono::nanoseconds{input.as<std::int64_t>()};
            return input;
        }
    };

    template <typename Message>
    struct pack<Message, std::enable_if_t<laburnumreach::protocol::wire_message<Message>>>
    {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& output, const Message& message) const
        {
            output.pack(laburnumreach::protocol::message_layout<Message>::fields(message));
            return output;
        }
    };

    template <typename Message>
    struct convert<Message, std::enable_if_t<laburnumreach::protocol::wire_message<Message>>>
    {
        const msgpack::object& operator()(const msgpack::object& input, Message& message) const
        {
            auto fields = laburnumreach::protocol::message_layout<Message>::fields(message);
            // Daemons of different versions run side by side while VMs are replaced. A message with another
            // number of fields would be misread, so the number must match.
            if (input.type != type::ARRAY || input.via.array.size != std::tuple_size_v<decltype(fields)>)
            {
                throw type_error();
            }
            convert_fields(input, fields, std::make_index_sequence<std::tuple_size_v<decltype(fields)>>{});
            return input;
        }

    private:
        template <typename Fields, std::size_t... Index>
        static void convert_fields(const msgpack::object& input, Fields& fields,
                                   std::index_sequence<Index...>)
        {
            (input.via.array.ptr[Index].convert(std::get<Index>(fields)), ...);
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

#endif
