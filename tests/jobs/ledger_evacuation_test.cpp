#include "lovagebeam/jobs/evacuation.h"
#include "lovagebeam/jobs/ledger.h"

#include "sim_cell.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace std::chrono_literals;

const base::failure_domain north{"north"};
const base::failure_domain south{"south"};

/// Orders about failure domains in a ledger.
class ledger_evacuation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ledger_evacuation_test);
    CPPUNIT_TEST(repeated_order_changes_nothing);
    CPPUNIT_TEST(repeated_withdrawal_changes_nothing);
    CPPUNIT_TEST(withdrawal_without_evacuation_leaves_no_record);
    CPPUNIT_TEST(late_duplicate_of_withdrawn_order_is_in_force_again);
    CPPUNIT_TEST(crossed_orders_last_committed_is_in_force);
    CPPUNIT_TEST(clock_that_went_back_last_committed_is_in_force);
    CPPUNIT_TEST(unexpected_revision_changes_nothing);
    CPPUNIT_TEST(crossed_orders_with_same_expected_revision_first_wins);
    CPPUNIT_TEST(order_after_snapshot_is_still_in_force);
    CPPUNIT_TEST(withdrawn_record_after_snapshot_keeps_its_revision);
    CPPUNIT_TEST(ledger_without_orders_writes_no_evacuations);
    CPPUNIT_TEST(one_domain_too_many_changes_nothing);
    CPPUNIT_TEST(withdrawn_records_over_limit_oldest_is_removed);
    CPPUNIT_TEST(placement_in_evacuated_domain_rejects_whole_operation);
    CPPUNIT_TEST(placement_after_withdrawal_takes_effect);
    CPPUNIT_TEST(worker_that_changed_its_domain_counts_in_the_present_one);
    CPPUNIT_TEST(names_of_domains_are_checked);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeated_order_changes_nothing()
    {
        order(north, true, "ops", "power work");
        const auto first = m_records.evacuations().at(north);
        order(north, true, "other", "retry");
        CPPUNIT_ASSERT(first == m_records.evacuations().at(north));
        CPPUNIT_ASSERT(m_records.is_evacuated(north));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first.revision);
        CPPUNIT_ASSERT_EQUAL(std::string{"ops"}, first.who);
        CPPUNIT_ASSERT_EQUAL(std::string{"power work"}, first.why);
    }

    void repeated_withdrawal_changes_nothing()
    {
        order(north, true);
        order(north, false);
        order(north, false);
        CPPUNIT_ASSERT(!m_records.is_evacuated(north));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_records.evacuations().at(north).revision);
    }

    // Guards against records that grow with names that were never evacuated.
    void withdrawal_without_evacuation_leaves_no_record()
    {
        order(north, false);
        CPPUNIT_ASSERT(m_records.evacuations().empty());
    }

    // The duplicate can't be told from a new order, and an order that is acknowledged must be in
    // force.
    void late_duplicate_of_withdrawn_order_is_in_force_again()
    {
        order(north, true);
        order(north, false);
        order(north, true);
        CPPUNIT_ASSERT(m_records.is_evacuated(north));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_records.evacuations().at(north).revision);
    }

    void crossed_orders_last_committed_is_in_force()
    {
        order(north, true);
        order(south, true);
        order(north, false);
        CPPUNIT_ASSERT(!m_records.is_evacuated(north));
        CPPUNIT_ASSERT(m_records.is_evacuated(south));
        order(south, false);
        order(north, true);
        CPPUNIT_ASSERT(m_records.is_evacuated(north));
        CPPUNIT_ASSERT(!m_records.is_evacuated(south));
    }

    // Guards against an order of the log that is ranked by a leader's clock.
    void clock_that_went_back_last_committed_is_in_force()
    {
        m_time_ms = 5'000;
        order(north, true);
        m_time_ms = 1'000;
        order(north, false);
        CPPUNIT_ASSERT(!m_records.is_evacuated(north));
    }

    void unexpected_revision_changes_nothing()
    {
        order(north, true);
        order(north, false, {}, {}, 3);
        CPPUNIT_ASSERT(m_records.is_evacuated(north));
        order(north, false, {}, {}, 1);
        CPPUNIT_ASSERT(!m_records.is_evacuated(north));
    }

    void crossed_orders_with_same_expected_revision_first_wins()
    {
        order(north, true);
        order(north, false, "first", {}, 1);
        order(north, true, "second", {}, 1);
        CPPUNIT_ASSERT(!m_records.is_evacuated(north));
        CPPUNIT_ASSERT_EQUAL(std::string{"first"}, m_records.evacuations().at(north).who);
    }

    void order_after_snapshot_is_still_in_force()
    {
        order(north, true, "ops", "power work");
        const auto before = m_records.evacuations();
        restore();
        CPPUNIT_ASSERT(m_records.is_evacuated(north));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_records.evacuated_count());
        CPPUNIT_ASSERT(before == m_records.evacuations());
        order(north, true);
        CPPUNIT_ASSERT(before == m_records.evacuations());
    }

    void withdrawn_record_after_snapshot_keeps_its_revision()
    {
        order(north, true);
        order(north, false);
        restore();
        CPPUNIT_ASSERT(!m_records.is_evacuated(north));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_records.evacuations().at(north).revision);
        order(north, true, {}, {}, 2);
        CPPUNIT_ASSERT(m_records.is_evacuated(north));
    }

    // Guards against snapshots that differ from those of earlier versions on deployments that never
    // evacuate.
    void ledger_without_orders_writes_no_evacuations()
    {
        put_worker("w0", "north");
        const auto bytes = m_records.encode();
        proto::jobs::Snapshot snapshot;
        CPPUNIT_ASSERT(snapshot.ParseFromString(bytes));
        CPPUNIT_ASSERT_EQUAL(0, snapshot.evacuations_size());
        order(north, false);
        CPPUNIT_ASSERT(snapshot.ParseFromString(m_records.encode()));
        CPPUNIT_ASSERT_EQUAL(0, snapshot.evacuations_size());
    }

    void one_domain_too_many_changes_nothing()
    {
        for (std::size_t i = 0; i < max_evacuated_domains; ++i) {
            order(base::failure_domain{absl::StrCat("d", i)}, true);
        }
        order(north, true);
        CPPUNIT_ASSERT(!m_records.is_evacuated(north));
        CPPUNIT_ASSERT(!m_records.evacuations().contains(north));
        order(base::failure_domain{"d0"}, false);
        order(north, true);
        CPPUNIT_ASSERT(m_records.is_evacuated(north));
    }

    // Guards against a replicated state that grows with every name that was ever evacuated.
    void withdrawn_records_over_limit_oldest_is_removed()
    {
        order(south, true);
        for (std::size_t i = 0; i <= max_withdrawn_evacuations; ++i) {
            ++m_time_ms;
            const base::failure_domain name{absl::StrCat("d", i)};
            order(name, true);
            order(name, false);
        }
        CPPUNIT_ASSERT_EQUAL(max_withdrawn_evacuations + 1, m_records.evacuations().size());
        CPPUNIT_ASSERT(!m_records.evacuations().contains(base::failure_domain{"d0"}));
        CPPUNIT_ASSERT(m_records.evacuations().contains(base::failure_domain{"d1"}));
        CPPUNIT_ASSERT(m_records.is_evacuated(south));
    }

    // Guards against a placement that was decided before the order and is committed after it.
    void placement_in_evacuated_domain_rejects_whole_operation()
    {
        put_worker("w0", "north");
        put_worker("w1", "south");
        accept(1, 2);
        order(north, true);
        place({"w0", "w1"});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, m_records.find(job_number{1})->placed);
        place({"w1", "w1"});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, m_records.find(job_number{1})->placed);
    }

    void placement_after_withdrawal_takes_effect()
    {
        put_worker("w0", "north");
        accept(1, 1);
        order(north, true);
        order(north, false);
        place({"w0"});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, m_records.find(job_number{1})->placed);
    }

    void worker_that_changed_its_domain_counts_in_the_present_one()
    {
        put_worker("w0", "north");
        order(north, true);
        CPPUNIT_ASSERT(m_records.is_evacuated(base::worker_id{"w0"}));
        put_worker("w0", "south");
        CPPUNIT_ASSERT(!m_records.is_evacuated(base::worker_id{"w0"}));
        accept(1, 1);
        place({"w0"});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, m_records.find(job_number{1})->placed);
    }

    void names_of_domains_are_checked()
    {
        CPPUNIT_ASSERT(check_domain_name("eu-1_a.B").ok());
        CPPUNIT_ASSERT(check_domain_name(std::string(64, 'a')).ok());
        CPPUNIT_ASSERT(!check_domain_name("").ok());
        CPPUNIT_ASSERT(!check_domain_name(std::string(65, 'a')).ok());
        for (const std::string name : {"a b", "a/b", "a%20b", "\xc3\xa9", "a\n", "a?"}) {
            CPPUNIT_ASSERT_MESSAGE(name, !check_domain_name(name).ok());
        }
        CPPUNIT_ASSERT(!check_domain_name(std::string_view{"a\0", 2}).ok());
    }

private:
    void apply(proto::jobs::Batch batch)
    {
        batch.set_time_ms(m_time_ms);
        CPPUNIT_ASSERT(m_records.apply(batch.SerializeAsString()).ok());
    }

    void order(const base::failure_domain& domain, bool is_evacuated, const std::string& who = {},
               const std::string& why = {}, std::uint64_t expected_revision = 0)
    {
        proto::jobs::Batch batch;
        auto& operation = *batch.add_operations()->mutable_put_evacuation();
        operation.set_domain(domain.str());
        operation.set_evacuated(is_evacuated);
        operation.set_who(who);
        operation.set_why(why);
        operation.set_expected_revision(expected_revision);
        apply(batch);
    }

    void put_worker(const std::string& id, const std::string& domain)
    {
        proto::jobs::Batch batch;
        auto& operation = *batch.add_operations()->mutable_put_worker();
        operation.mutable_worker()->set_id(id);
        operation.mutable_worker()->set_domain(domain);
        operation.mutable_worker()->set_born_ms(1);
        apply(batch);
    }

    void accept(std::uint64_t id, std::uint32_t tasks)
    {
        proto::jobs::Batch batch;
        *batch.add_operations()->mutable_accept()->mutable_spec() =
            to_proto(test::simple_job(id, tasks, 1'000));
        apply(batch);
    }

    /// Places the tasks of job 1 on these workers.
    void place(const std::vector<std::string>& workers)
    {
        proto::jobs::Batch batch;
        auto& operation = *batch.add_operations()->mutable_place();
        for (std::uint32_t i = 0; i < workers.size(); ++i) {
            auto& placement = *operation.add_placements();
            *placement.mutable_task() = to_proto(run_key{{job_number{1}, 0, 0, i}, 1});
            placement.set_worker(workers[i]);
            placement.set_born_ms(1);
        }
        apply(batch);
    }

    void restore()
    {
        const auto snapshot = m_records.encode();
        ledger restored;
        CPPUNIT_ASSERT(restored.decode(snapshot).ok());
        CPPUNIT_ASSERT_EQUAL(snapshot, restored.encode());
        m_records = std::move(restored);
    }

    ledger m_records;
    std::int64_t m_time_ms = 1'000;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_evacuation_test);

} // namespace
