// The drawer alone, with answers of holders that the test makes up.
#include <glib.h>
#include <gtest/gtest.h>

#include "baobabward/clock.h"
#include "baobabward/lease.h"
#include "baobabward/limit.h"
#include "lease_fixture.h"

static const int64_t S = BB_US_PER_S;

// Host 0 of three draws for the account "a"; the clock is driven.
struct Drawer : ThreeHosts {
	struct bb_drawer *d;
	bool holds = false;
	uint32_t retry_ms = 0;
	int draws = 0;
	bool stopping = false;
	uint32_t extra = 0;
	int64_t returned = 0;

	Drawer()
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

		// A loop without a pause would end in a stack overflow.
		if (++draws > 1000)
			return;
		returned += draw->draws[0].returned;
		grant.retry_ms = retry_ms;
		if (holds) {
			grant.granted = draw->draws[0].wanted + extra;
			grant.valid_ms = BB_DRAW_VALID_SHORT_US / BB_US_PER_MS;
		}
		m.type = BB_MESSAGE_DRAW_GRANT;
		m.draw_grant.incarnation = 1;
		m.draw_grant.nonce = draw->nonce;
		m.draw_grant.grants = &grant;
		m.draw_grant.grants_nr = 1;
		bb_drawer_receive(d, host, &m, now);
	}

	void run(int64_t us)
	{
		for (int64_t end = now + us; now < end; now += S / 20)
			bb_drawer_tick(d, now);
	}
};

// Guards against a request that waits until it is refused, because the only
// holder got its lease just after it was asked. In a rolling restart this
// refused requests inside the rate.
TEST(Drawer, AsksAgainWhenNoHostHeldTheGroup)
{
	Drawer f;

	ASSERT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	f.run(S / 10);
	ASSERT_LT(0, f.draws);
	f.holds = true;
	f.run(S / 2);
	EXPECT_EQ(BB_SPEND_GRANTED,
		  bb_drawer_spend(f.d, "a", true, f.now, nullptr));
}

// Guards against a loop without a pause: a host that did not hold the group
// does so now, but has no token yet.
TEST(Drawer, FollowsTheHintOfANewHolder)
{
	Drawer f;

	ASSERT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	f.run(S / 10);
	f.retry_ms = 108;
	f.draws = 0;
	f.run(S);
	EXPECT_LT(0, f.draws);
	EXPECT_GE(4 * 11, f.draws);
}

// Guards against requests that are all refused at the first hint of a holder
// whose share is new, and against more of them waiting than tokens come.
TEST(Drawer, AsManyWaitForANewShareAsItRefills)
{
	Drawer f;
	int waiting = 0;

	// Each of the three hosts expects four tokens.
	f.retry_ms = BB_DRAW_RETRY_NEW_SHARE_BASE + 4;
	for (int i = 0; i < 20; i++)
		ASSERT_EQ(BB_SPEND_WAIT,
			  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	f.run(S / 10);
	for (int i = 0; i < 20; i++)
		waiting += bb_drawer_spend(f.d, "a", true, f.now, nullptr) ==
			   BB_SPEND_WAIT;
	EXPECT_EQ(12, waiting);
	EXPECT_EQ(BB_SPEND_REFUSED,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	f.draws = 0;
	f.run(S);
	EXPECT_GE(3 * 3, f.draws);
	f.holds = true;
	f.run(S / 2);
	EXPECT_EQ(BB_SPEND_GRANTED,
		  bb_drawer_spend(f.d, "a", true, f.now, nullptr));
}

// Guards against requests over the rate that wait for nothing: the bucket of an
// older share is empty because it was overspent.
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

// Guards against draws in a loop, and against any for an account for which no
// request waits.
TEST(Drawer, AsksAgainAtABoundedRate)
{
	Drawer f;

	ASSERT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	f.run(2 * S);
	EXPECT_GE(4 * 21, f.draws);
	bb_drawer_cancel_wait(f.d, "a");
	f.run(S / 10);
	f.draws = 0;
	f.run(10 * S);
	EXPECT_EQ(0, f.draws);
}

// Guards against tokens that keep a stopping holder from releasing its leases:
// after a planned stop nobody had these until they ended, 8 s later.
TEST(Drawer, GivesTokensBackToAHolderThatStops)
{
	Drawer f;

	f.holds = true;
	f.extra = 3 * BB_TOKEN;
	ASSERT_EQ(BB_SPEND_WAIT,
		  bb_drawer_spend(f.d, "a", false, f.now, nullptr));
	bb_drawer_tick(f.d, f.now);
	ASSERT_EQ(BB_SPEND_GRANTED,
		  bb_drawer_spend(f.d, "a", true, f.now, nullptr));
	f.run(S / 10);
	ASSERT_EQ(0, f.returned);
	f.stopping = true;
	f.run(S / 10);
	EXPECT_EQ(f.extra, f.returned);
}
