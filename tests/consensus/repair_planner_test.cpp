#include "lovagebeam/consensus/repair_planner.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::consensus;
using namespace std::chrono_literals;

/// Hosts h0, h1, ... in the given failure domains; the first `voters` of them are voters.
class fleet {
public:
    fleet(std::size_t voters, const std::vector<std::string>& domains)
    {
        m_view.now = base::time_point{1h};
        for (std::size_t i = 0; i < domains.size(); ++i) {
            member_status status;
            status.member = {base::node_id{absl::StrCat("h", i)}, incarnation{i + 1}};
            status.voter = i < voters;
            status.durable = status.caught_up = status.responded = true;
            status.last_response = m_view.now;
            m_view.members.push_back(status);
            m_view.hosts.push_back({status.member, base::failure_domain{domains[i]}, true});
        }
        m_view.leader = m_view.members.front().member.id;
    }

    repair_view& view() { return m_view; }
    member_status& operator[](std::size_t i) { return m_view.members[i]; }
    void mark_lost(std::size_t i)
    {
        m_view.members[i].last_response = m_view.now - 1min;
        m_view.hosts[i].available = false;
    }
    [[nodiscard]] std::string plan() const
    {
        const auto change = repair_planner{repair_settings{}}.plan(m_view);
        static const std::map<change_kind, std::string> names{
            {change_kind::add_learner, "add "},
            {change_kind::promote, "promote "},
            {change_kind::demote, "demote "},
            {change_kind::remove_voter, "remove "},
            {change_kind::remove_learner, "remove learner "}};
        return change ? names.at(change->kind) + change->member.id.str() : "nothing";
    }

private:
    repair_view m_view;
};

class repair_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(repair_planner_test);
    CPPUNIT_TEST(plan_healthy_group_changes_nothing);
    CPPUNIT_TEST(plan_lost_voter_promotes_a_learner_then_demotes_the_lost_one);
    CPPUNIT_TEST(plan_voter_within_grace_changes_nothing);
    CPPUNIT_TEST(plan_lost_voter_prefers_the_emptiest_domain);
    CPPUNIT_TEST(plan_no_majority_present_changes_nothing);
    CPPUNIT_TEST(plan_change_pending_changes_nothing);
    CPPUNIT_TEST(plan_lost_disk_without_spare_replaces_the_identity);
    CPPUNIT_TEST(plan_learner_behind_waits_for_it);
    CPPUNIT_TEST(plan_learner_under_former_incarnation_is_not_promoted);
    CPPUNIT_TEST(plan_two_domains_short_spreads_two_one_one_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void plan_healthy_group_changes_nothing()
    {
        const fleet hosts{5, {"a", "a", "b", "c", "d", "b"}};
        CPPUNIT_ASSERT_EQUAL(std::string{"nothing"}, hosts.plan());
    }

    void plan_lost_voter_promotes_a_learner_then_demotes_the_lost_one()
    {
        fleet hosts{5, {"a", "a", "b", "c", "d", "d"}};
        hosts.mark_lost(4);
        CPPUNIT_ASSERT_EQUAL(std::string{"promote h5"}, hosts.plan());
        hosts[5].voter = true;
        CPPUNIT_ASSERT_EQUAL(std::string{"demote h4"}, hosts.plan());
    }

    // Guards against replacing a voter that only restarts.
    void plan_voter_within_grace_changes_nothing()
    {
        fleet hosts{5, {"a", "a", "b", "c", "d", "d"}};
        hosts[4].last_response = hosts.view().now - 20s;
        CPPUNIT_ASSERT_EQUAL(std::string{"nothing"}, hosts.plan());
    }

    void plan_lost_voter_prefers_the_emptiest_domain()
    {
        fleet hosts{5, {"a", "a", "b", "c", "d", "a", "b", "d"}};
        hosts.mark_lost(4);
        CPPUNIT_ASSERT_EQUAL(std::string{"promote h7"}, hosts.plan());
    }

    // Guards against a change that leaves the new group without a majority of present voters.
    void plan_no_majority_present_changes_nothing()
    {
        fleet hosts{3, {"a", "b", "c", "d"}};
        hosts.mark_lost(2);
        hosts[1].last_response = hosts.view().now - 5s;
        CPPUNIT_ASSERT_EQUAL(std::string{"nothing"}, hosts.plan());
        hosts[1].last_response = hosts.view().now;
        hosts[1].caught_up = false;
        CPPUNIT_ASSERT_EQUAL(std::string{"nothing"}, hosts.plan());
        hosts[1].caught_up = true;
        CPPUNIT_ASSERT_EQUAL(std::string{"promote h3"}, hosts.plan());
    }

    void plan_change_pending_changes_nothing()
    {
        fleet hosts{5, {"a", "a", "b", "c", "d", "d"}};
        hosts.mark_lost(4);
        hosts.view().change_pending = true;
        CPPUNIT_ASSERT_EQUAL(std::string{"nothing"}, hosts.plan());
    }

    // Guards against waiting forever for an incarnation whose disk is lost.
    void plan_lost_disk_without_spare_replaces_the_identity()
    {
        fleet hosts{3, {"a", "b", "c"}};
        hosts[2].other_incarnation = incarnation{99};
        hosts.view().hosts[2].member.incarnation = incarnation{99};
        CPPUNIT_ASSERT_EQUAL(std::string{"remove h2"}, hosts.plan());
        hosts.view().members.pop_back();
        repair_settings three;
        three.target_voters = 3;
        const auto change = repair_planner{three}.plan(hosts.view());
        CPPUNIT_ASSERT(change && change->kind == change_kind::add_learner);
        CPPUNIT_ASSERT(change->member.incarnation == incarnation{99});
    }

    // Guards against adding further hosts while the first one is still copying the log.
    void plan_learner_behind_waits_for_it()
    {
        fleet hosts{3, {"a", "b", "c", "d", "e"}};
        hosts[3].caught_up = false;
        hosts.view().members.pop_back();
        CPPUNIT_ASSERT_EQUAL(std::string{"nothing"}, hosts.plan());
    }

    // Guards against promoting a learner under an incarnation that can never vote. The group then
    // stopped permanently (seed 3970 of an earlier version).
    void plan_learner_under_former_incarnation_is_not_promoted()
    {
        fleet hosts{5, {"a", "a", "b", "c", "d", "d"}};
        hosts.mark_lost(4);
        hosts.view().hosts[5].member.incarnation = incarnation{99};
        CPPUNIT_ASSERT_EQUAL(std::string{"nothing"}, hosts.plan());
    }

    // Applies the plan until it is empty, starting with five voters in two of four domains.
    void plan_two_domains_short_spreads_two_one_one_one()
    {
        fleet hosts{5, {"a", "a", "a", "b", "b", "c", "d"}};
        for (int step = 0; step < 10; ++step) {
            const auto change = repair_planner{repair_settings{}}.plan(hosts.view());
            if (!change) {
                break;
            }
            for (member_status& status : hosts.view().members) {
                if (status.member == change->member) {
                    status.voter = change->kind == change_kind::promote;
                }
            }
        }
        std::multiset<std::string> domains;
        for (std::size_t i = 0; i < hosts.view().members.size(); ++i) {
            if (hosts[i].voter) {
                domains.insert(hosts.view().hosts[i].domain.str());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, domains.size());
        for (const std::string domain : {"a", "b", "c", "d"}) {
            CPPUNIT_ASSERT_MESSAGE(domain, domains.count(domain) >= 1);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repair_planner_test);

} // namespace
