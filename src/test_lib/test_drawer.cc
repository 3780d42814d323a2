// The drawer alone; the test itself answers in place of the holders.
#include <glib.h>
#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/lease.h"
#include "baobabward/limit.h"
#include "held_up.h"
#include "lease_fixture.h"

static const int64_t SECOND_US = BB_US_PER_S;

// Host 0 of three draws for the account "a". The hosts answer as if they held
// the group if @holds, else with the hint @retry_ms, and grant @extra_tokens
// more than asked for; @returned counts the micro-tokens that came back.
struct Drawer : ThreeHosts {
	struct bb_drawer *d;
	bool holds = false;
	uint32_t retry_ms = 0;
	int draws = 0;
	bool stopping = false;
	uint32_t extra_tokens = 0;
	int64_t returned = 0;
	// The hosts answer only when answer_late() is called.
	bool stalled = false;
	std::vector<std::pair<uint32_t, uint64_t>> unanswered;

	explicit Drawer(bool ranked = false)
	{
		struct bb_drawer_options o = {};

		o.self = "host0";
		o.incarnation = 1;
		o.data = this;
		o.alive = [](void *, uint32_t, int64_t) { return true; };
		o.stopping = [](void *data, uint32_t, int64_t) {
			return ((Drawer *)data)->stopping;
		};
		o.send = [](void *data, uint32_t host,
			    const struct bb_message *m) {
			((Drawer *)data)->answer(host, &m->draw);
		};
		o.drift_ppm = BB_LEASE_DRIFT_PPM;
		d = bb_drawer_new(&o);
		config.policies.rank_order = ranked;
		bb_drawer_set_config(d, &config, map, now);
	}

	~Drawer()
	{
		bb_drawer_delete(d);
	}

	void answer(uint32_t host, const struct bb_message_draw *draw)
	{
		struct bb_message m = {};
		struct bb_draw_grant grant = {};

		if (stalled) {
			unanswered.emplace_back(host, draw->nonce);
			return;
		}
		// Ends an endless loop of draws before the stack overflows.
		if (++draws > 1000)
			return;
		returned += draw->draws[0].returned;
		grant.retry_ms = retry_ms;
		if (holds) {
			grant.granted = draw->draws[0].wanted + extra_tokens;
			grant.valid_ms = BB_DRAW_VALID_SHORT_US / BB_US_PER_MS;
		}
		m.type = BB_MESSAGE_DRAW_GRANT;
		m.draw_grant.incarnation = 1;
		m.draw_grant.nonce = draw->nonce;
		m.draw_grant.grants = &grant;
		m.draw_grant.grants_nr = 1;
		bb_drawer_receive(d, host, &m, now);
	}

	// Grants one token for a draw that was not answered.
	void answer_late(size_t i)
	{
		struct bb_message m = {};
		struct bb_draw_grant grant = {};

		grant.granted = BB_TOKEN;
		grant.valid_ms = BB_DRAW_VALID_SHORT_US / BB_US_PER_MS;
		m.type = BB_MESSAGE_DRAW_GRANT;
		m.draw_grant.incarnation = 1;
		m.draw_grant.nonce = unanswered[i].second;
		m.draw_grant.grants = &grant;
		m.draw_grant.grants_nr = 1;
		bb_drawer_receive(d, unanswered[i].first, &m, now);
	}

	void run(int64_t us)
	{
		for (int64_t end = now + us; now < end; now += SECOND_US / 20)
			bb_drawer_tick(d, now);
	}
};

// Guards against a request that waits until it is refused, because the only
// holder got its lease just after it was asked. In a rolling restart, requests
// inside the rate were refused for this reason.
TEST(Drawer, AsksAgainWhenNoHostHeldTheGroup)
{
	Drawer f;

	ASSERT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	f.run(SECOND_US / 10);
	ASSERT_LT(0, f.draws);
	f.holds = true;
	f.run(SECOND_US / 2);
	EXPECT_EQ(BB_SPEND_GRANTED,
		  bb_drawer_spend(f.d, "a", true, f.now, nullptr));
}

// Guards against draws in an endless loop when a host that did not hold the
// group now holds it, but has no token yet.
TEST(Drawer, FollowsTheHintOfANewHolder)
{
	Drawer f;

	ASSERT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	f.run(SECOND_US / 10);
	f.retry_ms = 108;
	f.draws = 0;
	f.run(SECOND_US);
	EXPECT_LT(0, f.draws);
	EXPECT_GE(4 * 11, f.draws);
}

// Guards against requests that are all refused at the first retry hint of a
// holder whose share is new, and against more requests that wait than tokens
// are refilled.
TEST(Drawer, AsManyWaitForANewShareAsItRefills)
{
	Drawer f;
	int waiting = 0;

	// Each of the three hosts expects four tokens.
	f.retry_ms = BB_DRAW_RETRY_NEW_SHARE_BASE + 4;
	for (int i = 0; i < 20; i++)
		ASSERT_EQ(BB_SPEND_WAIT,
			  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	f.run(SECOND_US / 10);
	for (int i = 0; i < 20; i++)
		waiting += bb_drawer_spend(f.d, "a", true, f.now, nullptr) ==
			   BB_SPEND_WAIT;
	EXPECT_EQ(12, waiting);
	EXPECT_EQ(BB_SPEND_REFUSED,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	f.draws = 0;
	f.run(SECOND_US);
	EXPECT_GE(3 * 3, f.draws);
	f.holds = true;
	f.run(SECOND_US / 2);
	EXPECT_EQ(BB_SPEND_GRANTED,
		  bb_drawer_spend(f.d, "a", true, f.now, nullptr));
}

// Guards against requests over the rate that wait in vain: the bucket of an
// older share is empty because the account spent more than its rate.
TEST(Drawer, NoneWaitsForAnOlderShare)
{
	Drawer f;

	f.retry_ms = 100;
	for (int i = 0; i < 20; i++)
		ASSERT_EQ(BB_SPEND_WAIT,
			  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	bb_drawer_tick(f.d, f.now);
	EXPECT_EQ(BB_SPEND_REFUSED,
		  bb_drawer_spend(f.d, "a", true, f.now, nullptr));
}

// Guards against draws in an endless loop, and against draws for an account for
// which no request waits.
TEST(Drawer, AsksAgainAtABoundedRate)
{
	Drawer f;

	ASSERT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	f.run(2 * SECOND_US);
	EXPECT_GE(4 * 21, f.draws);
	bb_drawer_cancel_wait(f.d, "a");
	f.run(SECOND_US / 10);
	f.draws = 0;
	f.run(10 * SECOND_US);
	EXPECT_EQ(0, f.draws);
}

// Guards against unspent tokens that keep a stopping holder from releasing its
// leases: after a planned stop no host could hold the group until the leases
// ended, 8 s later.
TEST(Drawer, GivesTokensBackToAHolderThatStops)
{
	Drawer f;

	f.holds = true;
	f.extra_tokens = 3 * BB_TOKEN;
	ASSERT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	bb_drawer_tick(f.d, f.now);
	ASSERT_EQ(BB_SPEND_GRANTED,
		  bb_drawer_spend(f.d, "a", true, f.now, nullptr));
	f.run(SECOND_US / 10);
	ASSERT_EQ(0, f.returned);
	f.stopping = true;
	f.run(SECOND_US / 10);
	EXPECT_EQ(f.extra_tokens, f.returned);
}

// Guards against the tokens of a holder that stalls for more than 150 ms, which
// were dropped with its answer, so that the request was refused after its whole
// wait.
TEST(Drawer, UsesTheAnswerOfAStalledHolder)
{
	for (bool ranked : { false, true }) {
		Drawer f(ranked);

		f.stalled = true;
		ASSERT_EQ(BB_SPEND_WAIT,
			  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
		f.run(SECOND_US / 5);
		bb_drawer_tick(f.d, f.now);
		ASSERT_LE(1u, f.unanswered.size());
		f.answer_late(0);
		EXPECT_EQ(ranked ? BB_SPEND_GRANTED : BB_SPEND_WAIT,
			  bb_drawer_spend(f.d, "a", true, f.now, nullptr));
		// A repeated answer grants nothing.
		f.answer_late(0);
		EXPECT_EQ(BB_SPEND_WAIT,
			  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	}
}

// Guards against tokens that are spent twice: those of an answer that is older
// than the last draw from the same holder, which told the holder that they are
// not held, and those that are valid no more.
TEST(Drawer, IgnoresAnswersThatAreTooLate)
{
	Drawer f(true);

	f.stalled = true;
	ASSERT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	// Until the first host is asked again.
	for (int i = 0; i < 40 && (f.unanswered.size() < 2 ||
				   f.unanswered.back().first !=
					   f.unanswered.front().first);
	     i++)
		f.run(SECOND_US / 20);
	ASSERT_EQ(f.unanswered.front().first, f.unanswered.back().first);
	f.answer_late(0);
	EXPECT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", true, f.now, nullptr));
	f.now += 300 * BB_US_PER_MS;
	f.answer_late(f.unanswered.size() - 1);
	EXPECT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", true, f.now, nullptr));
}

// Guards against a reserve that is spent on top of the rate: a request that waits
// for a silent holder while another one has said that the account has spent all.
TEST(Drawer, EmptyAccountDoesNotUseTheReserve)
{
	Drawer f(true);

	EXPECT_TRUE(bb_drawer_may_use_reserve(f.d, "a", f.now));
	f.retry_ms = 100;
	ASSERT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	bb_drawer_tick(f.d, f.now);
	EXPECT_FALSE(bb_drawer_may_use_reserve(f.d, "a", f.now));
	EXPECT_TRUE(bb_drawer_may_use_reserve(f.d, "a", f.now + SECOND_US));
}

// Guards against a thread that uses a core while it admits a request and the
// control thread is held up among the accounts, here where it looks for holders.
TEST(Drawer, SpendDoesNotSpinWhileTheControlThreadIsHeldUp)
{
	struct HeldUp : Drawer {
		std::atomic<bool> inside{ false };
	} f;
	struct bb_drawer_options o = {};
	double before_ms, spent_ms;
	struct bb_drawer *d;

	o.self = "host0";
	o.data = &f;
	o.alive = [](void *data, uint32_t, int64_t) {
		((HeldUp *)data)->inside = true;
		usleep(100000);
		return false;
	};
	o.send = [](void *, uint32_t, const struct bb_message *) {};
	d = bb_drawer_new(&o);
	bb_drawer_set_config(d, &f.config, f.map, f.now);
	bb_drawer_spend(d, "a", false, f.now, NULL);
	std::thread control([&] { bb_drawer_tick(d, f.now); });
	while (!f.inside)
		usleep(1000);
	before_ms = held_up::cpu_ms(CLOCK_THREAD_CPUTIME_ID);
	bb_drawer_spend(d, "a", false, f.now, NULL);
	spent_ms = held_up::cpu_ms(CLOCK_THREAD_CPUTIME_ID) - before_ms;
	control.join();
	EXPECT_LT(spent_ms, held_up::WAIT_MAX_MS);
	bb_drawer_delete(d);
}
