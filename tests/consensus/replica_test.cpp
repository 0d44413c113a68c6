#include "lovagebeam/base/errors.h"
#include "lovagebeam/consensus/codec.h"
#include "lovagebeam/consensus/replica.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::consensus;
using namespace std::chrono_literals;

member voter(int i)
{
    return {base::node_id{absl::StrCat("v", i)}, incarnation{static_cast<std::uint64_t>(i) + 10}};
}

/// Tests voter v0 of a group of three; the test sends the messages of v1 and v2.
class replica_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(vote_isnt_sent_before_storage_is_done);
    CPPUNIT_TEST(vote_candidate_with_shorter_log_is_refused);
    CPPUNIT_TEST(vote_other_incarnation_is_not_counted);
    CPPUNIT_TEST(message_to_other_incarnation_is_reported_and_dropped);
    CPPUNIT_TEST(message_of_other_group_is_dropped);
    CPPUNIT_TEST(vote_within_election_timeout_of_leader_is_ignored);
    CPPUNIT_TEST(propose_follower_names_the_leader);
    CPPUNIT_TEST(propose_batch_is_one_write_and_one_message_each);
    CPPUNIT_TEST(commit_waits_for_a_majority_of_durable_copies);
    CPPUNIT_TEST(read_within_lease_takes_no_round_trip);
    CPPUNIT_TEST(read_after_lease_steps_down_and_refuses);
    CPPUNIT_TEST(read_after_transfer_began_takes_a_round_trip);
    CPPUNIT_TEST(change_second_before_commit_is_refused);
    CPPUNIT_TEST(change_removal_of_leader_is_refused);
    CPPUNIT_TEST(append_gap_is_refused_with_hint);
    CPPUNIT_TEST(append_malformed_entries_are_dropped);
    CPPUNIT_TEST(build_log_with_gap_is_log_corrupt);
    CPPUNIT_TEST(codec_config_with_repeated_node_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_now = base::time_point{1h};
        m_replica.reset();
        build({}, {});
    }

    void vote_isnt_sent_before_storage_is_done()
    {
        advance(400ms);
        const effects requested = receive(vote_request(1, 1, 0, 0));
        CPPUNIT_ASSERT(requested.messages.empty());
        CPPUNIT_ASSERT(requested.persist && requested.persist->hard_state->vote == voter(1));
        const effects done = step(storage_done{requested.persist->sequence});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, done.messages.size());
        CPPUNIT_ASSERT(done.messages[0].message.vote_response().granted());
    }

    void vote_candidate_with_shorter_log_is_refused()
    {
        build(hard_state{term{2}, {}, group_id{5}},
              {{log_index{1}, term{1}, entry_kind::no_op, {}},
               {log_index{2}, term{2}, entry_kind::no_op, {}}});
        advance(400ms);
        CPPUNIT_ASSERT(!reply_to(vote_request(1, 3, 9, 1)).vote_response().granted());
        CPPUNIT_ASSERT(!reply_to(vote_request(1, 4, 1, 2)).vote_response().granted());
        CPPUNIT_ASSERT(reply_to(vote_request(1, 5, 2, 2)).vote_response().granted());
    }

    // Guards against counting a vote under the incarnation of a lost disk.
    void vote_other_incarnation_is_not_counted()
    {
        become_candidate();
        auto message = vote_response(1, 1);
        message.mutable_from()->set_incarnation(999);
        receive(message);
        CPPUNIT_ASSERT_EQUAL(std::string{"candidate"}, std::string{name_of(m_replica->role())});
        receive(vote_response(1, 1));
        CPPUNIT_ASSERT_EQUAL(std::string{"leader"}, std::string{name_of(m_replica->role())});
    }

    void message_to_other_incarnation_is_reported_and_dropped()
    {
        advance(400ms);
        auto request = vote_request(1, 1, 0, 0);
        request.mutable_to()->set_incarnation(999);
        CPPUNIT_ASSERT(receive(request).messages.empty());
        auto append = append_request(1, 1, 0, 0);
        append.mutable_to()->set_incarnation(999);
        const effects out = receive(append);
        CPPUNIT_ASSERT(out.messages.at(0).message.append_response().wrong_incarnation());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_replica->current_term().value());
    }

    void message_of_other_group_is_dropped()
    {
        auto append = append_request(1, 1, 0, 0);
        append.set_group(6);
        CPPUNIT_ASSERT(receive(append).messages.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_replica->current_term().value());
    }

    // The lease of v1 relies on ignoring the request; only a leadership transfer overrides it.
    void vote_within_election_timeout_of_leader_is_ignored()
    {
        advance(400ms);
        receive(append_request(1, 1, 0, 0));
        advance(299ms);
        CPPUNIT_ASSERT(receive(vote_request(2, 2, 0, 0)).messages.empty());
        auto transfer = vote_request(2, 2, 0, 0);
        transfer.mutable_vote_request()->set_transfer(true);
        CPPUNIT_ASSERT(reply_to(transfer).vote_response().granted());
    }

    void propose_follower_names_the_leader()
    {
        receive(append_request(1, 1, 0, 0));
        const effects out = step(propose{{{request_tag{7}, "x"}}});
        const auto& rejected = std::get<proposal_rejected>(out.proposals.at(0));
        CPPUNIT_ASSERT(base::has_code(rejected.reason, base::error_code::not_leader));
        CPPUNIT_ASSERT_EQUAL(std::string{"v1"}, rejected.leader.str());
    }

    void propose_batch_is_one_write_and_one_message_each()
    {
        lead();
        const effects out =
            step(propose{{{request_tag{1}, "a"}, {request_tag{2}, "b"}, {request_tag{3}, "c"}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, out.proposals.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, out.persist->entries.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, out.messages.size());
        CPPUNIT_ASSERT_EQUAL(3, out.messages[0].message.append_request().entries_size());
    }

    void commit_waits_for_a_majority_of_durable_copies()
    {
        lead();
        const log_index committed = m_replica->commit_index();
        const effects out = step(propose{{{request_tag{1}, "a"}}}, false);
        CPPUNIT_ASSERT(step(storage_done{out.persist->sequence}).committed.empty());
        const effects acknowledged = receive(accepted(1, committed.value() + 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, acknowledged.committed.size());
    }

    void read_within_lease_takes_no_round_trip()
    {
        lead();
        const effects out = step(consensus::read{{request_tag{1}}});
        CPPUNIT_ASSERT(std::get<read_ready>(out.reads.at(0)).by_lease);
    }

    // Guards against a former leader that serves reads after a pause.
    void read_after_lease_steps_down_and_refuses()
    {
        lead();
        m_now += 295ms;
        const effects out = step(consensus::read{{request_tag{1}}});
        CPPUNIT_ASSERT(std::holds_alternative<read_rejected>(out.reads.at(0)));
        CPPUNIT_ASSERT_EQUAL(std::string{"follower"}, std::string{name_of(m_replica->role())});
    }

    void read_after_transfer_began_takes_a_round_trip()
    {
        lead();
        const effects begun = step(transfer_leadership{voter(1).id});
        CPPUNIT_ASSERT(begun.messages.at(0).message.has_timeout_now());
        CPPUNIT_ASSERT(!begun.contact.lease_valid_until.has_value());
        CPPUNIT_ASSERT(step(consensus::read{{request_tag{1}}}).reads.empty());
        const effects out = receive(accepted(1, 1, 2));
        CPPUNIT_ASSERT(!std::get<read_ready>(out.reads.at(0)).by_lease);
    }

    void change_second_before_commit_is_refused()
    {
        lead();
        const member first{base::node_id{"l1"}, incarnation{1}};
        const member second{base::node_id{"l2"}, incarnation{2}};
        const effects one =
            step(change_membership{request_tag{1}, {change_kind::add_learner, first}});
        CPPUNIT_ASSERT(std::holds_alternative<proposal_accepted>(one.proposals.at(0)));
        const effects two =
            step(change_membership{request_tag{2}, {change_kind::add_learner, second}});
        const auto& rejected = std::get<proposal_rejected>(two.proposals.at(0));
        CPPUNIT_ASSERT(base::has_code(rejected.reason, base::error_code::no_quorum));
    }

    void change_removal_of_leader_is_refused()
    {
        lead();
        const effects out =
            step(change_membership{request_tag{1}, {change_kind::remove_voter, voter(0)}});
        const auto& rejected = std::get<proposal_rejected>(out.proposals.at(0));
        CPPUNIT_ASSERT(base::has_code(rejected.reason, base::error_code::invalid_request));
    }

    void append_gap_is_refused_with_hint()
    {
        const auto reply = reply_to(append_request(1, 1, 9, 1));
        CPPUNIT_ASSERT(!reply.append_response().accepted());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, reply.append_response().hint_index());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, reply.append_response().refused_prev());
    }

    void append_malformed_entries_are_dropped()
    {
        auto message = append_request(1, 1, 0, 0);
        auto& entry = *message.mutable_append_request()->add_entries();
        entry.set_index(3);
        entry.set_term(1);
        receive(message);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_replica->last_index().value());
    }

    void build_log_with_gap_is_log_corrupt()
    {
        const auto built = replica_builder{voter(0)}
                               .entries({{log_index{2}, term{1}, entry_kind::no_op, {}}})
                               .build(m_now);
        CPPUNIT_ASSERT(base::has_code(built.status(), base::error_code::log_corrupt));
    }

    void codec_config_with_repeated_node_is_refused()
    {
        const group_config good{{voter(1)}, {voter(2)}};
        CPPUNIT_ASSERT(decode_config(encode_config(good)) == good);
        const group_config bad{{voter(1)}, {{voter(1).id, incarnation{3}}}};
        CPPUNIT_ASSERT(!decode_config(encode_config(bad)).has_value());
    }

private:
    void build(hard_state state, std::vector<log_entry> entries)
    {
        state.group = group_id{5};
        snapshot_meta first;
        first.config.voters = {voter(0), voter(1), voter(2)};
        auto built = replica_builder{voter(0)}
                         .state(std::move(state))
                         .snapshot(first)
                         .entries(std::move(entries))
                         .build(m_now);
        CPPUNIT_ASSERT(built.ok());
        m_replica = std::move(*built);
    }

    effects step(event input, bool sync = false)
    {
        effects out = m_replica->step(m_now, std::move(input));
        if (sync && out.persist) {
            effects done = m_replica->step(m_now, storage_done{out.persist->sequence});
            std::move(done.messages.begin(), done.messages.end(), std::back_inserter(out.messages));
        }
        return out;
    }

    effects receive(const proto::ConsensusMessage& message)
    {
        return step(message_received{message});
    }

    /// Returns the only reply to `message`, once storage is done.
    proto::ConsensusMessage reply_to(const proto::ConsensusMessage& message)
    {
        const effects out = step(message_received{message}, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.messages.size());
        return out.messages[0].message;
    }

    void advance(base::duration time) { m_now += time; }

    void become_candidate()
    {
        advance(601ms);
        step(tick{});
        auto pre = vote_response(1, 1);
        pre.set_term(0);
        pre.mutable_vote_response()->set_pre_vote(true);
        step(message_received{pre}, true);
    }

    void lead()
    {
        become_candidate();
        step(message_received{vote_response(1, 1)}, true);
        CPPUNIT_ASSERT_EQUAL(std::string{"leader"}, std::string{name_of(m_replica->role())});
        receive(accepted(1, 1));
        receive(accepted(2, 1));
    }

    static proto::ConsensusMessage message_from(int from, std::uint64_t at_term)
    {
        proto::ConsensusMessage message;
        message.set_group(5);
        message.set_term(at_term);
        message.mutable_from()->set_id(voter(from).id.str());
        message.mutable_from()->set_incarnation(voter(from).incarnation.value());
        message.mutable_to()->set_id(voter(0).id.str());
        message.mutable_to()->set_incarnation(voter(0).incarnation.value());
        return message;
    }

    static proto::ConsensusMessage vote_request(int from, std::uint64_t at_term,
                                                std::uint64_t index, std::uint64_t last_term)
    {
        auto message = message_from(from, at_term);
        message.mutable_vote_request()->set_last_index(index);
        message.mutable_vote_request()->set_last_term(last_term);
        return message;
    }

    static proto::ConsensusMessage vote_response(int from, std::uint64_t at_term)
    {
        auto message = message_from(from, at_term);
        message.mutable_vote_response()->set_granted(true);
        message.mutable_vote_response()->set_requested_term(at_term);
        return message;
    }

    static proto::ConsensusMessage append_request(int from, std::uint64_t at_term,
                                                  std::uint64_t prev, std::uint64_t prev_term)
    {
        auto message = message_from(from, at_term);
        message.mutable_append_request()->set_prev_index(prev);
        message.mutable_append_request()->set_prev_term(prev_term);
        return message;
    }

    proto::ConsensusMessage accepted(int from, std::uint64_t match, std::uint64_t round = 1)
    {
        auto message = message_from(from, m_replica->current_term().value());
        auto& response = *message.mutable_append_response();
        response.set_accepted(true);
        response.set_match(match);
        response.set_durable(true);
        response.set_round(round);
        return message;
    }

    base::time_point m_now;
    std::unique_ptr<replica> m_replica;
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);

} // namespace
