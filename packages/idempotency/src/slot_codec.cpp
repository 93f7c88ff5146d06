#include "slot_codec.hpp"

#include <algorithm>
#include <cstring>
#include <msgpack.hpp>
#include <openssl/evp.h>
#include <optional>
#include <tuple>

namespace laburnumreach::idempotency::slot_codec
{

namespace
{

/// Format number, raised with each incompatible change.
constexpr std::uint32_t format = 1;

/// A record: 16 bytes of key, up to 3 of owner index, up to 9 of sequence, 1 of age and state.
constexpr std::size_t record_bytes_bound = 29;
/// An owner apart from its daemon id: array header, incarnation and string header.
constexpr std::size_t process_bytes_bound = 15;
/// Numbers and headers outside of records and owners.
constexpr std::size_t fixed_bytes_bound = 96;

constexpr std::size_t state_count = 3;

using key_digest = decltype(claim_key::digest);

/// Columns of a slot object in wire order.
struct columns
{
    std::uint32_t version = format;
    std::uint64_t generation = 0;
    std::uint64_t writes = 0;
    std::tuple<std::uint64_t, std::uint64_t> operation;
    std::vector<std::tuple<std::uint64_t, std::string>> processes;
    std::vector<unsigned char> keys;
    std::vector<std::uint32_t> owners;
    std::vector<std::uint64_t> sequences;
    std::vector<unsigned char> states; ///< age * state_count + state

    MSGPACK_DEFINE(version, generation, writes, operation, processes, keys, owners, sequences, states)
};

std::string to_base64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0'); // EVP_EncodeBlock adds a final zero.
    const int size = ::EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                       reinterpret_cast<const unsigned char*>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    if (text.size() % 4 != 0 || text.empty() || text.size() > claim_slot::max_encoded_bytes)
    {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    const int size =
        ::EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                          reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size != static_cast<int>(bytes.size()))
    {
        return std::nullopt;
    }
    // EVP_DecodeBlock decodes padding to zero bytes.
    const auto padding = std::count(text.end() - 2, text.end(), '=');
    bytes.resize(bytes.size() - static_cast<std::size_t>(padding));
    return bytes;
}

std::optional<columns> unpack(std::string_view bytes)
{
    // A damaged header must not make the parser allocate more than a valid slot needs.
    const msgpack::unpack_limit limits{claim_slot::max_encoded_bytes / record_bytes_bound,
                                       0,
                                       claim_slot::max_encoded_bytes,
                                       claim_slot::max_encoded_bytes,
                                       0,
                                       4};
    try
    {
        std::size_t offset = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limits);
        return offset == bytes.size() ? std::optional{handle.get().as<columns>()} : std::nullopt;
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

} // namespace

std::size_t encoded_bound(std::size_t records, std::size_t processes, std::size_t process_bytes) noexcept
{
    const std::size_t bytes =
        fixed_bytes_bound + records * record_bytes_bound + processes * process_bytes_bound + process_bytes;
    return 4 * ((bytes + 2) / 3);
}

std::string encode(const slot_fields& fields)
{
    columns packed{.generation = fields.generation,
                   .writes = fields.writes,
                   .operation = {fields.operation.incarnation, fields.operation.sequence}};
    for (const process_id& process : fields.processes)
    {
        packed.processes.emplace_back(process.incarnation, process.daemon);
    }
    packed.keys.reserve(fields.records.size() * std::tuple_size_v<key_digest>);
    packed.owners.reserve(fields.records.size());
    packed.sequences.reserve(fields.records.size());
    packed.states.reserve(fields.records.size());
    for (const claim_record& record : fields.records)
    {
        packed.keys.insert(packed.keys.end(), record.key.digest.begin(), record.key.digest.end());
        packed.owners.push_back(record.owner);
        packed.sequences.push_back(record.sequence);
        packed.states.push_back(
            static_cast<unsigned char>(record.age * state_count + static_cast<std::size_t>(record.state)));
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, packed);
    return to_base64({buffer.data(), buffer.size()});
}

tl::expected<slot_fields, std::string_view> decode(std::string_view value)
{
    const std::optional<std::string> bytes = from_base64(value);
    if (!bytes)
    {
        return tl::unexpected<std::string_view>{"not Base64"};
    }
    const std::optional<columns> packed = unpack(*bytes);
    if (!packed)
    {
        return tl::unexpected<std::string_view>{"not MessagePack of a slot"};
    }
    if (packed->version != format)
    {
        return tl::unexpected<std::string_view>{"unknown format number"};
    }
    const std::size_t count = packed->owners.size();
    constexpr std::size_t key_bytes = std::tuple_size_v<key_digest>;
    if (packed->keys.size() != count * key_bytes || packed->sequences.size() != count ||
        packed->states.size() != count)
    {
        return tl::unexpected<std::string_view>{"columns of different lengths"};
    }
    slot_fields fields{.generation = packed->generation,
                       .writes = packed->writes,
                       .operation = {.incarnation = std::get<0>(packed->operation),
                                     .sequence = std::get<1>(packed->operation)}};
    for (const auto& [incarnation, daemon] : packed->processes)
    {
        fields.processes.push_back({.incarnation = incarnation, .daemon = daemon});
    }
    fields.records.resize(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        claim_record& record = fields.records[index];
        std::memcpy(record.key.digest.data(), packed->keys.data() + index * key_bytes, key_bytes);
        record.sequence = packed->sequences[index];
        record.owner = packed->owners[index];
        record.age = static_cast<std::uint8_t>(packed->states[index] / state_count);
        record.state = static_cast<claim_state>(packed->states[index] % state_count);
        if (record.owner >= fields.processes.size() ||
            (index > 0 && !(fields.records[index - 1].key < record.key)))
        {
            return tl::unexpected<std::string_view>{"records out of order or without owner"};
        }
    }
    return fields;
}

} // namespace laburnumreach::idempotency::slot_codec
