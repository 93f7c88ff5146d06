#include "laburnumreach/standin/run_judgement.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <unordered_set>

namespace laburnumreach::standin
{

namespace
{

constexpr std::size_t most_examples = 20;

/// Collects what the records say and judges the attempts by it.
class record_judge
{
public:
    record_judge(const load_scenario& judged_scenario, std::span<const load_attempt> judged_attempts)
        : scenario(judged_scenario), attempts(judged_attempts)
    {
        for (const load_attempt& attempt : judged_attempts)
        {
            this->by_nonce.emplace(attempt.nonce, &attempt);
        }
    }

    void add_record(const nlohmann::json& record)
    {
        const std::string service = record.value("service", "");
        for (const nlohmann::json& row : record.at("nonces"))
        {
            this->add_nonce(row);
        }
        for (const nlohmann::json& row : record.at("requests"))
        {
            if (row.value("started", 0) > 0)
            {
                this->started_requests.insert(row.value("request_id", ""));
            }
        }
        for (const nlohmann::json& row : record.at("idempotency_keys"))
        {
            const std::string key = row.value("key", "");
            const std::uint64_t starts = row.value("started", std::uint64_t{0});
            std::string scoped = service;
            for (const std::string& part : {row.value("path", ""), row.value("tenant", ""), key})
            {
                scoped.append(" ").append(part);
            }
            this->key_starts[scoped] += starts;
            if (starts > 0)
            {
                this->started_keys.insert(root_of(key));
            }
        }
        this->judgement.dropped_entries += record.value("dropped", std::uint64_t{0});
        this->judgement.damaged_dependency_answers +=
            record.value("damaged_dependency_answers", std::uint64_t{0});
        for (const nlohmann::json& found : record.at("forbidden"))
        {
            ++this->judgement.keys_seen;
            this->add_example("a key reached " + service + " in " + found.value("where", ""));
        }
    }

    run_judgement finish(std::size_t missing)
    {
        this->judgement.records_missing = missing;
        for (const auto& [key, starts] : this->key_starts)
        {
            if (starts > 1)
            {
                ++this->judgement.duplicates_run;
                this->add_example("started " + std::to_string(starts) + " times: " + key);
            }
        }
        std::unordered_set<std::string> keys_maybe_run;
        for (const load_attempt& attempt : this->attempts)
        {
            if (attempt.verdict != "not_run")
            {
                keys_maybe_run.insert(attempt.idempotency_key);
            }
        }
        for (const load_attempt& attempt : this->attempts)
        {
            const bool key_ran = !attempt.idempotency_key.empty() &&
                                 this->started_keys.contains(attempt.idempotency_key) &&
                                 !keys_maybe_run.contains(attempt.idempotency_key);
            const bool id_ran =
                !attempt.request_id.empty() && this->started_requests.contains(attempt.request_id);
            if (attempt.verdict == "not_run" &&
                (key_ran || id_ran || this->started_nonces.contains(attempt.nonce)))
            {
                ++this->judgement.wrong_verdicts;
                this->add_example("answered not_run (" + attempt.reason + ") but started: " + attempt.nonce);
            }
        }
        return std::move(this->judgement);
    }

private:
    /// Calls of upstreams append "/<number>" to the nonce and the key of the request.
    static std::string root_of(const std::string& text) { return text.substr(0, text.find('/')); }

    void add_nonce(const nlohmann::json& row)
    {
        const std::string root = root_of(row.value("nonce", ""));
        const auto found = this->by_nonce.find(root);
        if (found == this->by_nonce.end())
        {
            return;
        }
        const load_attempt& attempt = *found->second;
        const double work_ms = row.value("work_ms", 0.0);
        this->judgement.work_ms += work_ms;
        if (attempt.ended != load_attempt::ending::whole)
        {
            this->judgement.wasted_work_ms += work_ms;
        }
        if (row.value("started", 0) > 0)
        {
            this->started_nonces.insert(root);
        }
        const std::string tenant = row.value("tenant", "");
        if (!tenant.empty() && tenant != this->scenario.tenants[attempt.tenant].name)
        {
            ++this->judgement.wrong_tenants;
            this->add_example("ran for tenant " + tenant + " instead of the sender: " + root);
        }
    }

    void add_example(std::string text)
    {
        std::vector<std::string>& examples = this->judgement.examples;
        if (examples.size() < most_examples &&
            std::find(examples.begin(), examples.end(), text) == examples.end())
        {
            examples.push_back(std::move(text));
        }
    }

    const load_scenario& scenario;
    const std::span<const load_attempt> attempts;
    std::unordered_map<std::string, const load_attempt*> by_nonce;
    std::unordered_set<std::string> started_nonces;
    std::unordered_set<std::string> started_requests;
    std::unordered_set<std::string> started_keys;
    std::map<std::string, std::uint64_t> key_starts;
    run_judgement judgement;
};

} // namespace

bool run_judgement::clean() const
{
    return this->records_missing == 0 && this->dropped_entries == 0 && this->duplicates_run == 0 &&
           this->wrong_verdicts == 0 && this->wrong_tenants == 0 && this->keys_seen == 0 &&
           this->damaged_dependency_answers == 0;
}

run_judgement judge_run(const load_scenario& scenario, std::span<const load_attempt> attempts,
                        std::span<const std::optional<std::string>> records)
{
    record_judge judge{scenario, attempts};
    std::size_t missing = 0;
    for (const std::optional<std::string>& text : records)
    {
        const nlohmann::json record = text ? nlohmann::json::parse(*text, nullptr, false) : nlohmann::json{};
        if (!record.is_object() || !record.contains("nonces") || !record.contains("requests") ||
            !record.contains("idempotency_keys") || !record.contains("forbidden"))
        {
            ++missing;
            continue;
        }
        judge.add_record(record);
    }
    return judge.finish(missing);
}

} // namespace laburnumreach::standin
