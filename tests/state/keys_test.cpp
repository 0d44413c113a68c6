#include "lovagebeam/state/keys.h"

#include "cell_fixture.h"

namespace {

using lovagebeam::base::error_code;
using lovagebeam::base::team_id;
using lovagebeam::base::time_point;
using lovagebeam::state::command;
using lovagebeam::state::generate_key;
using lovagebeam::state::key_verifier;
using lovagebeam::state::new_key;

class keys_test : public lovagebeam::test::cell_fixture {
    CPPUNIT_TEST_SUITE(keys_test);
    CPPUNIT_TEST(verify_valid_key_gives_team);
    CPPUNIT_TEST(verify_changed_or_malformed_key_is_unauthenticated);
    CPPUNIT_TEST(verify_withdrawn_key_is_unauthenticated);
    CPPUNIT_TEST(verify_unconfirmed_state_is_stale);
    CPPUNIT_TEST(verify_state_replaced_by_snapshot_uses_new_keys);
    CPPUNIT_TEST(seal_key_opens_under_same_secret_only);
    CPPUNIT_TEST_SUITE_END();

    new_key give()
    {
        new_key key = generate_key();
        command give = give_key("op-give", 0, "trust", key.id.str());
        give.mutable_give_key()->set_salt(key.salt);
        give.mutable_give_key()->set_hash(key.hash);
        assert_ok(apply(give).status);
        return key;
    }

    const time_point m_start{std::chrono::hours{1}};

public:
    void verify_valid_key_gives_team()
    {
        const new_key key = give();
        key_verifier verifier{m_cell};
        verifier.confirm(m_start);
        const auto team = verifier.verify(m_start, key.text);
        assert_ok(team.status());
        CPPUNIT_ASSERT_EQUAL(std::string{"trust"}, team->str());
        CPPUNIT_ASSERT(key.text.starts_with("lb." + key.id.str() + "."));
        CPPUNIT_ASSERT(key_verifier::id_of(key.text) == key.id);
        assert_ok(verifier.verify_team(m_start, key.text, team_id{"trust"}));
        assert_code(error_code::unauthenticated,
                    verifier.verify_team(m_start, key.text, team_id{"guild"}));
    }

    void verify_changed_or_malformed_key_is_unauthenticated()
    {
        const new_key key = give();
        key_verifier verifier{m_cell};
        verifier.confirm(m_start);
        std::string changed = key.text;
        changed.back() = changed.back() == '0' ? '1' : '0';
        const std::string unknown = generate_key().text;
        for (const std::string& text :
             {changed, unknown, std::string{}, std::string{"lb."}, std::string{"lb.."},
              key.text + "0", key.text.substr(1), "lb." + key.id.str() + "." + std::string(64, 'g'),
              "lb." + key.id.str() + "."}) {
            assert_code(error_code::unauthenticated, verifier.verify(m_start, text).status());
        }
    }

    void verify_withdrawn_key_is_unauthenticated()
    {
        const new_key key = give();
        key_verifier verifier{m_cell};
        verifier.confirm(m_start);
        command withdraw = operation("op-w", 1);
        withdraw.mutable_withdraw_key()->set_key_id(key.id.str());
        assert_ok(apply(withdraw).status);
        assert_code(error_code::unauthenticated, verifier.verify(m_start, key.text).status());
    }

    // Guards P3 on an isolated host, which can't learn that a key was withdrawn.
    void verify_unconfirmed_state_is_stale()
    {
        const new_key key = give();
        key_verifier verifier{m_cell};
        assert_code(error_code::stale_key_state, verifier.verify(m_start, key.text).status());
        verifier.confirm(m_start);
        verifier.confirm(m_start - std::chrono::seconds{4});
        assert_ok(verifier.verify(m_start + std::chrono::seconds{5}, key.text).status());
        const time_point late = m_start + std::chrono::milliseconds{5001};
        assert_code(error_code::stale_key_state, verifier.verify(late, key.text).status());
        assert_code(error_code::stale_key_state, verifier.verify(late, "nonsense").status());
    }

    void verify_state_replaced_by_snapshot_uses_new_keys()
    {
        key_verifier verifier{m_cell};
        verifier.confirm(m_start);
        const new_key key = give();
        auto restored = lovagebeam::state::cell_state::decode_snapshot(m_cell.encode_snapshot());
        assert_ok(restored.status());
        m_cell = *std::move(restored);
        assert_ok(verifier.verify(m_start, key.text).status());
    }

    void seal_key_opens_under_same_secret_only()
    {
        const std::string sealed = lovagebeam::state::seal_key("secret", "lb.id.text");
        CPPUNIT_ASSERT(sealed.find("lb.id") == std::string::npos);
        const auto opened = lovagebeam::state::open_key("secret", sealed);
        assert_ok(opened.status());
        CPPUNIT_ASSERT_EQUAL(std::string{"lb.id.text"}, *opened);
        assert_code(error_code::unauthenticated,
                    lovagebeam::state::open_key("other", sealed).status());
        assert_code(error_code::unauthenticated,
                    lovagebeam::state::open_key("secret", sealed.substr(0, 8)).status());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(keys_test);

} // namespace
