#include "cell_fixture.h"

namespace {

using lovagebeam::base::error_code;
using lovagebeam::base::key_id;
using lovagebeam::base::node_id;
using lovagebeam::base::operation_id;
using lovagebeam::base::target_id;
using lovagebeam::base::team_id;
using lovagebeam::state::apply_result;
using lovagebeam::state::cell_state;
using lovagebeam::state::command;
using lovagebeam::state::state_limits;
namespace pb = lovagebeam::proto::state;

class operator_test : public lovagebeam::test::cell_fixture {
    CPPUNIT_TEST_SUITE(operator_test);
    CPPUNIT_TEST(change_race_on_version_one_winner_one_conflict);
    CPPUNIT_TEST(change_resent_operation_gives_first_answer);
    CPPUNIT_TEST(change_operation_id_reused_for_other_content_is_refused);
    CPPUNIT_TEST(change_refused_operation_resent_stays_refused);
    CPPUNIT_TEST(change_exception_without_reason_is_refused);
    CPPUNIT_TEST(change_invalid_documents_are_refused_without_effect);
    CPPUNIT_TEST(change_without_why_or_who_is_refused);
    CPPUNIT_TEST(settings_exceptions_override_defaults);
    CPPUNIT_TEST(give_key_resent_with_other_random_parts_gives_first_key);
    CPPUNIT_TEST(withdraw_key_last_of_team_removes_team);
    CPPUNIT_TEST(audit_past_bound_drops_oldest);
    CPPUNIT_TEST(audit_entry_has_who_when_what_why_versions);
    CPPUNIT_TEST(epoch_race_one_winner_one_stale_epoch);
    CPPUNIT_TEST(apply_malformed_or_unknown_leaves_state_unchanged);
    CPPUNIT_TEST(apply_index_not_increasing_is_diverged);
    CPPUNIT_TEST(expire_removes_operation_records_in_batches);
    CPPUNIT_TEST_SUITE_END();

    static void add_exception(command& change, const std::string& scope, const std::string& reason,
                              const pb::Settings& set)
    {
        pb::ConfigException& added =
            *change.mutable_change_configuration()->mutable_configuration()->add_exceptions();
        added.set_scope(scope);
        added.set_reason(reason);
        *added.mutable_set() = set;
    }

public:
    // Guards P10: without the check of the expected version the second change would undo the first.
    void change_race_on_version_one_winner_one_conflict()
    {
        assert_ok(apply(share_change("op-1", 0, 2)).status);
        const apply_result second = apply(share_change("op-2", 0, 3));
        assert_code(error_code::version_conflict, second.status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, second.version.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, m_cell.settings_for({}).share);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_cell.version().value());
    }

    // Guards against a resend after a lost answer that is refused or applied a second time.
    void change_resent_operation_gives_first_answer()
    {
        const apply_result first = apply(share_change("op-1", 0, 2));
        assert_ok(apply(share_change("op-2", 1, 3)).status);
        m_now += std::chrono::seconds{3};
        const apply_result repeat = apply(share_change("op-1", 0, 2));
        assert_ok(repeat.status);
        CPPUNIT_ASSERT_EQUAL(first.version.value(), repeat.version.value());
        CPPUNIT_ASSERT(!repeat.changed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, m_cell.settings_for({}).share);
    }

    // Guards against answering one operator with the result of another one's change.
    void change_operation_id_reused_for_other_content_is_refused()
    {
        assert_ok(apply(share_change("op-1", 0, 2)).status);
        assert_code(error_code::already_exists, apply(share_change("op-1", 1, 5)).status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, m_cell.settings_for({}).share);
    }

    // Guards against an operation that was reported as refused and takes effect on a late resend.
    void change_refused_operation_resent_stays_refused()
    {
        assert_code(error_code::version_conflict, apply(share_change("op-1", 1, 2)).status);
        assert_ok(apply(share_change("op-2", 0, 3)).status);
        assert_code(error_code::version_conflict, apply(share_change("op-1", 1, 2)).status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, m_cell.settings_for({}).share);
    }

    void change_exception_without_reason_is_refused()
    {
        command change = share_change("op-1", 0, 2);
        pb::Settings set;
        set.set_share(5);
        add_exception(change, "team:trust", " \t", set);
        assert_code(error_code::reason_missing, apply(change).status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_cell.version().value());
    }

    void change_invalid_documents_are_refused_without_effect()
    {
        pb::Settings share;
        share.set_share(5);
        pb::Settings no_share;
        no_share.set_share(0);
        pb::Settings open;
        open.set_open(true);
        pb::Settings draining;
        draining.set_draining(true);
        const std::vector<std::pair<std::string, pb::Settings>> invalid{
            {"region:north", share},    {"team:", share},         {"team:trust", no_share},
            {"team:trust", open},       {"team:trust", draining}, {"host:n1", share},
            {"target:t1", open},        {"team:queue:x", share},  {"team:a b", share},
            {"queue:default", draining}};
        int number = 0;
        for (const auto& [scope, set] : invalid) {
            command change = operation("op-" + std::to_string(++number), 0);
            add_exception(change, scope, "reason", set);
            assert_code(error_code::invalid_settings, apply(change).status);
        }
        command twice = operation("op-twice", 0);
        add_exception(twice, "team:trust", "reason", share);
        add_exception(twice, "team:trust", "reason", share);
        assert_code(error_code::invalid_settings, apply(twice).status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_cell.version().value());
        CPPUNIT_ASSERT(m_cell.config().exceptions.empty());
    }

    void change_without_why_or_who_is_refused()
    {
        command change = share_change("op-1", 0, 2);
        change.mutable_operator_call()->set_why("  ");
        assert_code(error_code::reason_missing, apply(change).status);
        change = share_change("op-2", 0, 2);
        change.mutable_operator_call()->set_who(" ");
        assert_code(error_code::invalid_request, apply(change).status);
        change.mutable_operator_call()->set_who("Desk of the Trust");
        assert_ok(apply(change).status);
    }

    void settings_exceptions_override_defaults()
    {
        command change = share_change("op-1", 0, 2);
        pb::Settings team;
        team.set_share(7);
        add_exception(change, "team:trust", "season", team);
        pb::Settings queue;
        queue.set_open(true);
        queue.set_share(3);
        add_exception(change, "queue:walk-in", "no keys at the shed", queue);
        pb::Settings drained;
        drained.set_draining(true);
        add_exception(change, "target:t1", "repair", drained);
        assert_ok(apply(change).status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7},
                             m_cell.settings_for({"", team_id{"trust"}, {}, {}}).share);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                             m_cell.settings_for({"", team_id{"guild"}, {}, {}}).share);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3},
                             m_cell.settings_for({"", team_id{"queue:walk-in"}, {}, {}}).share);
        CPPUNIT_ASSERT(m_cell.is_queue_open("walk-in"));
        CPPUNIT_ASSERT(!m_cell.is_queue_open("default"));
        CPPUNIT_ASSERT(m_cell.settings_for({"", {}, target_id{"t1"}, {}}).draining);
        CPPUNIT_ASSERT(!m_cell.settings_for({"", {}, {}, node_id{"t1"}}).draining);
    }

    // Guards against a resend that leaves a second valid key which nobody knows of.
    void give_key_resent_with_other_random_parts_gives_first_key()
    {
        assert_ok(apply(give_key("op-1", 0, "trust", "k1")).status);
        const apply_result repeat = apply(give_key("op-1", 0, "trust", "k2"));
        assert_ok(repeat.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"k1"}, repeat.key.str());
        CPPUNIT_ASSERT_EQUAL(std::string{"sealed k1"}, repeat.sealed_key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_cell.keys().size());
    }

    void withdraw_key_last_of_team_removes_team()
    {
        assert_ok(apply(give_key("op-1", 0, "trust", "k1")).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_cell.teams().size());
        command withdraw = operation("op-2", 1);
        withdraw.mutable_withdraw_key()->set_key_id("k1");
        assert_ok(apply(withdraw).status);
        CPPUNIT_ASSERT(!m_cell.has_team(team_id{"trust"}));
        CPPUNIT_ASSERT(m_cell.find_key(key_id{"k1"}) == nullptr);
        assert_ok(apply(withdraw).status);
        withdraw.mutable_operator_call()->set_operation_id("op-3");
        withdraw.mutable_operator_call()->set_expected_version(2);
        assert_code(error_code::not_found, apply(withdraw).status);
    }

    void audit_past_bound_drops_oldest()
    {
        state_limits limits;
        limits.max_audit_entries = 3;
        m_cell = cell_state{limits};
        for (std::uint64_t i = 0; i < 5; ++i) {
            assert_ok(apply(share_change("op-" + std::to_string(i), i, 2)).status);
        }
        const auto audit = m_cell.audit(0, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, audit.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, audit.front().sequence);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, audit.back().sequence);
    }

    void audit_entry_has_who_when_what_why_versions()
    {
        assert_ok(apply(share_change("op-1", 0, 2)).status);
        const auto audit = m_cell.audit(0, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, audit.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"operator"}, audit[0].who);
        CPPUNIT_ASSERT_EQUAL(std::string{"test"}, audit[0].why);
        CPPUNIT_ASSERT_EQUAL(std::string{"configuration: changed defaults;"}, audit[0].what);
        CPPUNIT_ASSERT(audit[0].when == m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, audit[0].before.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, audit[0].after.value());
        CPPUNIT_ASSERT_EQUAL(std::string{"op-1"}, audit[0].operation.str());
    }

    // Guards against two proposers that each believe in another membership of the same epoch.
    void epoch_race_one_winner_one_stale_epoch()
    {
        assert_ok(apply(epoch(0, "n2")).status);
        const apply_result second = apply(epoch(0, "n3"));
        assert_code(error_code::stale_epoch, second.status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, second.epoch.value());
        CPPUNIT_ASSERT_EQUAL(std::string{"n2"}, m_cell.members().back().node.str());
        command twice = epoch(1, "n2");
        twice.mutable_install_epoch()->add_members()->set_node("n2");
        assert_code(error_code::invalid_request, apply(twice).status);
        command empty = epoch(1, "n2");
        empty.mutable_install_epoch()->clear_members();
        assert_code(error_code::invalid_request, apply(empty).status);
    }

    // Guards against a replica that stops or changes at an entry which another one ignores.
    void apply_malformed_or_unknown_leaves_state_unchanged()
    {
        assert_ok(apply(share_change("op-1", 0, 2)).status);
        const std::uint64_t digest = m_cell.digest();
        const std::string unknown_body{"\x08\x01\xfa\x07\x02hi", 7};
        for (const std::string& bytes :
             {std::string{}, std::string{"\xff\xff\xff"}, unknown_body, std::string(100, '\x0a')}) {
            assert_code(error_code::invalid_request, m_cell.apply(++m_index, bytes).status);
        }
        assert_code(error_code::message_too_large,
                    m_cell.apply(++m_index, std::string(2U << 20U, 'x')).status);
        command no_time = share_change("op-2", 1, 9);
        assert_code(error_code::invalid_request,
                    m_cell.apply(++m_index, no_time.SerializeAsString()).status);
        CPPUNIT_ASSERT_EQUAL(digest, m_cell.digest());
        CPPUNIT_ASSERT_EQUAL(m_index, m_cell.applied_index());
    }

    void apply_index_not_increasing_is_diverged()
    {
        assert_ok(apply(share_change("op-1", 0, 2)).status);
        const std::uint64_t digest = m_cell.digest();
        assert_code(error_code::state_diverged, m_cell.apply(1, "").status);
        CPPUNIT_ASSERT_EQUAL(digest, m_cell.digest());
    }

    void expire_removes_operation_records_in_batches()
    {
        for (std::uint64_t i = 0; i < 5; ++i) {
            assert_ok(apply(share_change("op-" + std::to_string(i), i, 2)).status);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, apply(expire(0)).expired);
        m_now += std::chrono::hours{25};
        const apply_result first = apply(expire(3));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, first.expired);
        CPPUNIT_ASSERT(first.more);
        const apply_result second = apply(expire(3));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, second.expired);
        CPPUNIT_ASSERT(!second.more);
        CPPUNIT_ASSERT(!m_cell.find_operation(operation_id{"op-0"}).has_value());
        CPPUNIT_ASSERT(!m_cell.next_expiry().has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_test);

} // namespace
