#include "laburnumreach/standin/execution_record.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace laburnumreach::standin
{

namespace
{

/// Separates tenant, path and key; none of them contains it.
constexpr char separator = '\n';

constexpr std::size_t most_findings = 100;

} // namespace

void execution_record::add(const identity& request, event what, core::duration worked)
{
    const std::lock_guard lock{this->mutex};
    if (!request.request_id.empty())
    {
        this->add_to(this->requests, request.request_id, request, what, worked);
    }
    if (!request.nonce.empty())
    {
        this->add_to(this->nonces, request.nonce, request, what, worked);
    }
    if (!request.idempotency_key.empty())
    {
        const std::string scoped =
            request.tenant + separator + request.path + separator + request.idempotency_key;
        this->add_to(this->keys, scoped, request, what, worked);
    }
}

void execution_record::add_to(table& entries, const std::string& key, const identity& request, event what,
                              core::duration worked)
{
    auto found = entries.find(key);
    if (found == entries.end())
    {
        if (entries.size() >= most_entries)
        {
            ++this->dropped;
            return;
        }
        found = entries.emplace(key, counts{.tenant = request.tenant, .path = request.path}).first;
    }
    counts& held = found->second;
    held.worked += worked;
    switch (what)
    {
    case event::received:
        ++held.received;
        break;
    case event::started:
        ++held.started;
        break;
    case event::finished:
        ++held.finished;
        break;
    case event::cancelled:
        ++held.cancelled;
        break;
    case event::failed:
        ++held.failed;
        break;
    }
}

void execution_record::set_forbidden_texts(std::vector<std::string> texts)
{
    const std::lock_guard lock{this->mutex};
    this->forbidden_texts = std::move(texts);
}

void execution_record::inspect(const identity& request, const std::string& where, const std::string& content)
{
    const std::lock_guard lock{this->mutex};
    for (std::size_t index = 0; index < this->forbidden_texts.size(); ++index)
    {
        const std::string& text = this->forbidden_texts[index];
        if (!text.empty() && content.find(text) != std::string::npos && this->findings.size() < most_findings)
        {
            this->findings.push_back(finding{.request_id = request.request_id,
                                             .tenant = request.tenant,
                                             .where = where,
                                             .text_index = index});
        }
    }
}

void execution_record::add_damaged_dependency_answer()
{
    const std::lock_guard lock{this->mutex};
    ++this->damaged_answers;
}

std::string execution_record::to_json() const
{
    const auto rows = [](const table& entries, const char* key_name)
    {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& [key, held] : entries)
        {
            const std::chrono::duration<double, std::milli> worked = held.worked;
            const std::size_t last_part = key.rfind(separator);
            list.push_back({{key_name, key.substr(last_part == std::string::npos ? 0 : last_part + 1)},
                            {"tenant", held.tenant},
                            {"path", held.path},
                            {"received", held.received},
                            {"started", held.started},
                            {"finished", held.finished},
                            {"cancelled", held.cancelled},
                            {"failed", held.failed},
                            {"work_ms", worked.count()}});
        }
        return list;
    };
    const std::lock_guard lock{this->mutex};
    nlohmann::json forbidden = nlohmann::json::array();
    for (const finding& found : this->findings)
    {
        forbidden.push_back({{"request_id", found.request_id},
                             {"tenant", found.tenant},
                             {"where", found.where},
                             {"text_index", found.text_index}});
    }
    const nlohmann::json document{{"requests", rows(this->requests, "request_id")},
                                  {"idempotency_keys", rows(this->keys, "key")},
                                  {"nonces", rows(this->nonces, "nonce")},
                                  {"dropped", this->dropped},
                                  {"damaged_dependency_answers", this->damaged_answers},
                                  {"forbidden", std::move(forbidden)}};
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void execution_record::reset()
{
    const std::lock_guard lock{this->mutex};
    this->requests.clear();
    this->keys.clear();
    this->nonces.clear();
    this->findings.clear();
    this->dropped = 0;
    this->damaged_answers = 0;
}

} // namespace laburnumreach::standin
