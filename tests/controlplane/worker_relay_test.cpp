#include "worker_relay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::controlplane;

/// Records the messages to other core processes instead of sending them.
class recording_links : public daemon::peer_sender {
public:
    void send(const base::node_id&, peers::channel, std::string bytes) override
    {
        proto::controlplane::RelayMessage message;
        CPPUNIT_ASSERT(message.ParseFromString(bytes));
        sent.push_back(std::move(message));
    }
    [[nodiscard]] bool is_connected(const base::node_id&) const override { return true; }

    std::vector<proto::controlplane::RelayMessage> sent;
};

/// Counts the calls that this process makes itself.
class counting_workers : public worker_port {
public:
    void start(const jobs::start_order&, std::function<void(jobs::start_outcome)>) override
    {
        ++calls;
    }
    void stop(const jobs::stop_order&, std::function<void(bool)>) override { ++calls; }
    void hold(const jobs::hold_order&,
              std::function<void(jobs::hold_outcome, jobs::hold_answer)>) override
    {
        ++calls;
    }

    std::size_t calls = 0;
};

/// A leader with one other core process and enough workers to relay calls through it.
class worker_relay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_relay_test);
    CPPUNIT_TEST(hold_goes_through_the_other_core_process);
    CPPUNIT_TEST(direct_hold_doesnt_queue_behind_relayed_orders);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_relay.set_cores({"10.0.0.2"});
        m_relay.set_worker_count(1'000);
    }

    void hold_goes_through_the_other_core_process()
    {
        m_relay.hold(order(), [](auto, const auto&) {});
        m_relay.flush();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_workers.calls);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_links.sent.size());
        CPPUNIT_ASSERT_EQUAL(order().token.value(), m_links.sent[0].orders(0).token());
    }

    // A paused process passes its orders on in turn once it goes on. Guards against starts of an
    // earlier instance that a new one carries out because the hold that makes it refuse them waits
    // behind them.
    void direct_hold_doesnt_queue_behind_relayed_orders()
    {
        m_relay.start(start(), [](auto) {});
        auto first = order();
        first.is_direct = true;
        m_relay.hold(first, [](auto, const auto&) {});
        m_relay.flush();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_workers.calls);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_links.sent.size());
        CPPUNIT_ASSERT_EQUAL(1, m_links.sent[0].orders_size());
        CPPUNIT_ASSERT(m_links.sent[0].orders(0).has_start());
    }

private:
    static jobs::hold_order order()
    {
        jobs::hold_order out;
        out.to.worker = base::worker_id{"worker"};
        out.token = jobs::fencing_token{7};
        return out;
    }
    static jobs::start_order start()
    {
        jobs::start_order out;
        out.to.worker = base::worker_id{"worker"};
        out.token = jobs::fencing_token{6};
        return out;
    }

    counting_workers m_workers;
    recording_links m_links;
    daemon::decision_loop m_loop;
    worker_relay m_relay{m_workers, m_links, m_loop};
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_relay_test);

} // namespace
