// Tests of membership in simulated fleets with loss, delays, partitions, pauses
// and restarts.
#include <gtest/gtest.h>

#include "bench/member_sim.h"

static const int64_t S = G_USEC_PER_SEC;

// Checks that no node claims that a seat ran later than it did, or that it
// accepted a version that it had not accepted.
static void check_bounds(struct sim *s)
{
	for (uint32_t i = 0; i < s->nr; i++) {
		struct sim_node *n = &s->nodes[i];

		if (n->down || n->paused)
			continue;
		for (uint32_t j = 0; j < s->nr; j++) {
			int64_t age = bb_member_age_us(n->m, j, sim_clock(n));

			if (j == i || age == INT64_MAX)
				continue;
			ASSERT_GE(age, s->now_us - s->nodes[j].ran_us - 1000)
				<< i << " of " << j;
			ASSERT_LE(bb_member_version(n->m, j),
				  s->nodes[j].config->version);
		}
	}
}

static void run(struct sim *s, int64_t duration)
{
	for (int64_t t = 0; t < duration; t += S / 4) {
		sim_run(s, S / 4);
		check_bounds(s);
	}
}

static uint32_t quorums(struct sim *s, uint32_t from, uint32_t to)
{
	uint32_t nr = 0;

	for (uint32_t i = from; i < to; i++)
		nr += sim_quorum(s, i);
	return nr;
}

struct Fleet {
	struct bb_config *config, *newer;
	struct sim *s;

	explicit Fleet(uint32_t nr, uint32_t seed, bool naive = false)
	{
		struct bb_member_options o = {};

		o.interval_us = naive ? S : 0;
		config = sim_config(1, 0, nr);
		newer = sim_config(2, 0, nr);
		s = sim_new(nr, seed, config, &o, naive);
	}

	~Fleet()
	{
		sim_delete(s);
		sim_config_delete(config);
		sim_config_delete(newer);
	}

	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;
};

// Guards against ages that are too low under loss and long delays, and against
// a healthy fleet without a quorum.
TEST(Member, AgesAreUpperBoundsUnderLossAndDelay)
{
	Fleet f(200, 1);

	f.s->loss = 0.1;
	f.s->delay_max_us = 300000;
	run(f.s, 20 * S);
	EXPECT_GT(quorums(f.s, 0, 200), 180u);
	f.s->loss = 0;
	f.s->delay_max_us = 2000;
	run(f.s, 15 * S);
	EXPECT_EQ(200u, quorums(f.s, 0, 200));
}

// Share of the pairs of running nodes in which one does not consider the other
// alive.
static double false_dead_share(struct sim *s)
{
	size_t dead = 0, all = 0;

	for (int round = 0; round < 20; round++) {
		sim_run(s, S / 4);
		for (uint32_t i = 0; i < s->nr; i++) {
			struct sim_node *n = &s->nodes[i];

			for (uint32_t j = 0; j < s->nr; j++, all++)
				dead += !bb_member_alive(n->m, j, sim_clock(n));
		}
	}
	return (double)dead / (double)all;
}

// Guards against false failure detections in a healthy fleet with a short
// freshness bound: evidence takes longer to spread in a larger fleet, and nodes
// that disagree on who is alive disagree on who holds a group.
TEST(Member, ShortFreshnessKeepsHealthyNodesAlive)
{
	for (uint32_t nr : { 22u, 101u, 300u }) {
		struct bb_config *config = sim_config(1, 0, nr);
		struct bb_member_options o = {};

		o.freshness_us = 4 * S;
		o.digest_entries = 320;
		o.config_linearizable = true;
		struct sim *s = sim_new(nr, 5, config, &o, false);

		sim_run(s, 10 * S);
		EXPECT_LT(false_dead_share(s), 0.01) << nr << " nodes";
		sim_delete(s);
		sim_config_delete(config);
	}
}

// Guards against neighbours that remain those of a short list: while a fleet
// starts, the list of hosts grows at each read, and all nodes would go on to
// poll only the first hosts.
TEST(Member, NeighboursFollowGrowingHostList)
{
	const uint32_t lists[] = { 12, 23, 44, 64, 86, 101 };
	struct bb_config *configs[G_N_ELEMENTS(lists)];
	struct bb_member_options o = {};
	uint32_t started = lists[0];

	o.freshness_us = 4 * S;
	o.digest_entries = 320;
	o.config_linearizable = true;
	for (size_t k = 0; k < G_N_ELEMENTS(lists); k++)
		configs[k] = sim_config(1, 0, lists[k]);
	struct sim *s = sim_new(101, 5, configs[0], &o, false);

	for (size_t k = 1; k < G_N_ELEMENTS(lists); k++) {
		sim_run(s, S / 4);
		for (uint32_t i = 0; i < started; i++)
			sim_accept(&s->nodes[i], configs[k]);
		for (; started < lists[k]; started++)
			sim_start(s, started, configs[k]);
	}
	sim_run(s, 10 * S);
	EXPECT_LT(false_dead_share(s), 0.01);
	sim_delete(s);
	for (struct bb_config *c : configs)
		sim_config_delete(c);
}

// Guards against a fleet that loses its quorum under heavy loss and does not
// regain it, because all nodes poll at the ordinary rate again.
TEST(Member, QuorumRecoversUnderHeavyLoss)
{
	struct bb_config *config = sim_config(1, 0, 300);
	struct bb_member_options o = {};
	uint32_t sum = 0;

	o.interval_us = 600000;
	struct sim *s = sim_new(300, 3, config, &o, false);

	s->loss = 0.3;
	sim_run(s, 40 * S);
	for (int i = 0; i < 10; i++) {
		sim_run(s, 2 * S);
		sum += quorums(s, 0, 300);
	}
	check_bounds(s);
	EXPECT_GT(sum, 10 * 280u);
	sim_delete(s);
	sim_config_delete(config);
}

// Guards against two sides of a partition that both keep a quorum, and against
// a side that does not recover. In a partition of 60/40 only the larger side
// keeps it, in one of 50/50 none does.
TEST(Member, PartitionsLeaveAtMostOneQuorum)
{
	for (uint32_t left : { 120u, 100u }) {
		Fleet f(200, left);

		run(f.s, 10 * S);
		ASSERT_EQ(200u, quorums(f.s, 0, 200));
		sim_block(f.s, 0, left, left, 200, true);
		sim_block(f.s, left, 200, 0, left, true);
		run(f.s, 11 * S);
		for (int t = 0; t < 20; t++) {
			run(f.s, S / 2);
			EXPECT_EQ(0u, quorums(f.s, left, 200));
			if (left == 100) {
				EXPECT_EQ(0u, quorums(f.s, 0, left));
			}
		}
		if (left == 120) {
			EXPECT_GT(quorums(f.s, 0, left), 110u);
		}
		sim_block(f.s, 0, left, left, 200, false);
		sim_block(f.s, left, 200, 0, left, false);
		run(f.s, 30 * S);
		EXPECT_EQ(200u, quorums(f.s, 0, 200));
	}
}

// Guards against nodes that count as alive although nothing they send arrives.
// They have no quorum themselves, since nobody receives their requests.
TEST(Member, OneWayPartition)
{
	Fleet f(200, 4);

	run(f.s, 10 * S);
	sim_block(f.s, 0, 20, 20, 200, true);
	run(f.s, 15 * S);
	EXPECT_EQ(0u, quorums(f.s, 0, 20));
	EXPECT_EQ(180u, quorums(f.s, 20, 200));
	for (uint32_t i = 20; i < 200; i++) {
		struct sim_node *n = &f.s->nodes[i];

		EXPECT_FALSE(bb_member_alive(n->m, 3, sim_clock(n)));
	}
}

// Guards against a node that is current after a pause or a restart because of
// evidence from before. Messages held during the pause are delivered when the
// node resumes.
TEST(Member, PauseAndRestartLoseTheQuorum)
{
	Fleet f(200, 5);

	run(f.s, 10 * S);
	for (uint32_t i = 0; i < 30; i++)
		sim_pause(f.s, i);
	f.s->nodes[30].down = true;
	run(f.s, 12 * S);
	for (uint32_t i = 0; i < 30; i++) {
		sim_resume(f.s, i);
		EXPECT_FALSE(sim_quorum(f.s, i));
		EXPECT_FALSE(bb_member_current(f.s->nodes[i].m,
					       sim_clock(&f.s->nodes[i])));
	}
	sim_start(f.s, 30, f.config);
	EXPECT_FALSE(sim_quorum(f.s, 30));
	check_bounds(f.s);
	run(f.s, 10 * S);
	EXPECT_EQ(200u, quorums(f.s, 0, 200));
}

// Guards against a node that stays current without a newer version, and against
// a version that counts as accepted by a quorum too early.
TEST(Member, NewVersionSpreadsAndStalePeerIsNotCurrent)
{
	Fleet f(200, 6);
	struct sim_node *a = &f.s->nodes[0], *b = &f.s->nodes[7];
	int64_t heard, until;

	run(f.s, 10 * S);
	EXPECT_TRUE(bb_member_quorum_accepted(b->m, 1));
	f.s->newest = f.newer;
	sim_accept(a, f.newer);
	// Nobody fetches it yet: the others learn of it and, after half of the
	// freshness bound, are not current, whatever they hear meanwhile.
	while (bb_member_highest_version(b->m) < 2 && f.s->now_us < 30 * S)
		run(f.s, S / 4);
	heard = sim_clock(b);
	until = bb_member_current_until_us(b->m);
	EXPECT_TRUE(bb_member_current(b->m, heard));
	EXPECT_LE(until, heard + 5 * S);
	run(f.s, 5 * S);
	EXPECT_EQ(2u, bb_member_highest_version(b->m));
	EXPECT_TRUE(sim_quorum(f.s, 7));
	EXPECT_FALSE(bb_member_current(b->m, heard + 5 * S + 1));
	EXPECT_EQ(until, bb_member_current_until_us(b->m));
	EXPECT_FALSE(bb_member_quorum_accepted(a->m, 2));
	f.s->fetch_us = 5000;
	run(f.s, 20 * S);
	for (uint32_t i = 0; i < 200; i++) {
		struct sim_node *n = &f.s->nodes[i];

		EXPECT_TRUE(bb_member_current(n->m, sim_clock(n))) << i;
		EXPECT_TRUE(bb_member_quorum_accepted(n->m, 2)) << i;
	}
	EXPECT_EQ(-1, bb_member_update(b->m, f.config, sim_clock(b), nullptr));
}

// Guards against evidence that is attributed to another seat after a change of
// the host list: host 0 is removed, so that all indices shift by one.
TEST(Member, EvidenceIsMappedByHostName)
{
	Fleet f(60, 7);
	struct bb_config *shifted = sim_config(3, 1, 60);
	struct sim_node *a = &f.s->nodes[1], *b = &f.s->nodes[2];

	run(f.s, 10 * S);
	f.s->nodes[40].down = true;
	run(f.s, 5 * S);

	int64_t age = bb_member_age_us(a->m, 40, sim_clock(a));

	ASSERT_EQ(0, bb_member_update(a->m, shifted, sim_clock(a), nullptr));
	EXPECT_EQ(age, bb_member_age_us(a->m, 39, sim_clock(a)));
	EXPECT_EQ(INT64_MAX, bb_member_age_us(a->m, 59, sim_clock(a)));
	EXPECT_EQ(0, bb_member_age_us(a->m, 0, sim_clock(a)));

	// A digest of a peer with the former list is understood.
	struct bb_message request = {};

	request.type = BB_MESSAGE_DIGEST_REQUEST;
	request.digest_request.max_entries = 60;

	struct bb_message digest =
		*bb_member_receive(b->m, 1, &request, sim_clock(b));

	// It does not answer a request of this node and changes nothing.
	digest.digest.nonce = 12345;
	bb_member_receive(a->m, BB_NO_ROW, &digest, sim_clock(a));
	EXPECT_EQ(age, bb_member_age_us(a->m, 39, sim_clock(a)));
	// The node with the older version learns of the newer one from a
	// request.
	request.digest_request.config_version = 3;
	bb_member_receive(b->m, 1, &request, sim_clock(b));
	EXPECT_EQ(3u, bb_member_highest_version(b->m));
	sim_accept(a, f.config); // refused; restores the simulator's state only
	bb_member_delete(a->m);
	a->m = nullptr;
	a->down = true;
	sim_config_delete(shifted);
}

// Guards against a planned stop that peers do not see, or that they still see
// after the next process of the host has started.
TEST(Member, PlannedStopIsAnnounced)
{
	Fleet f(60, 8);
	uint32_t seen = 0;

	run(f.s, 10 * S);
	bb_member_stop(f.s->nodes[5].m, sim_clock(&f.s->nodes[5]));
	run(f.s, 8 * S);
	for (uint32_t i = 6; i < 60; i++)
		seen += bb_member_stopping(f.s->nodes[i].m, 5);
	EXPECT_GT(seen, 50u);
	f.s->nodes[5].down = true;
	run(f.s, 2 * S);
	sim_start(f.s, 5, f.config);
	run(f.s, 15 * S);
	for (uint32_t i = 6; i < 60; i++)
		EXPECT_FALSE(bb_member_stopping(f.s->nodes[i].m, 5)) << i;
}

// Guards against a planned stop that reaches no peer, because it is announced
// just after a change of the list of hosts and the node ends at once.
TEST(Member, PlannedStopAfterAChangeIsAnnounced)
{
	Fleet f(60, 8);
	struct bb_config *fewer = sim_config(2, 0, 59);
	uint32_t seen = 0;

	run(f.s, 10 * S);
	f.s->nodes[59].down = true;
	for (uint32_t i = 0; i < 59; i++)
		sim_accept(&f.s->nodes[i], fewer);
	bb_member_stop(f.s->nodes[5].m, sim_clock(&f.s->nodes[5]));
	f.s->nodes[5].down = true;
	run(f.s, 8 * S);
	for (uint32_t i = 6; i < 59; i++)
		seen += bb_member_stopping(f.s->nodes[i].m, 5);
	EXPECT_GT(seen, 50u);
	for (uint32_t i = 0; i < 59; i++)
		sim_start(f.s, i, f.config);
	sim_config_delete(fewer);
}

// Guards against gossip that leads to another result than direct heartbeats:
// the same nodes fail in both fleets, and both must agree on the number of
// nodes with a quorum once evidence has spread.
TEST(Member, AgreesWithAllToAllHeartbeats)
{
	Fleet gossip(60, 9), naive(60, 9, true);

	for (uint32_t down : { 10u, 24u, 26u }) {
		for (Fleet *f : { &gossip, &naive }) {
			for (uint32_t i = 0; i < down; i++)
				f->s->nodes[i].down = true;
			sim_run(f->s, 30 * S);
		}
		EXPECT_EQ(quorums(naive.s, down, 60),
			  quorums(gossip.s, down, 60))
			<< down;
	}
}

// Guards against a read of the configuration service that counts as a quorum,
// or that makes a node current although it knows a newer version.
TEST(Member, ServiceReadMakesCurrentOnly)
{
	Fleet f(60, 10);
	struct sim_node *n = &f.s->nodes[0];

	// Before the start is over, a read proves nothing.
	bb_member_note_service_read(n->m, 1, sim_clock(n));
	EXPECT_FALSE(bb_member_current(n->m, sim_clock(n)));
	run(f.s, 10 * S);
	sim_block(f.s, 0, 1, 1, 60, true);
	sim_block(f.s, 1, 60, 0, 1, true);
	run(f.s, 15 * S);
	EXPECT_FALSE(bb_member_current(n->m, sim_clock(n)));

	bb_member_note_service_read(n->m, 1, sim_clock(n));
	EXPECT_TRUE(bb_member_current(n->m, sim_clock(n) + 10 * S));
	EXPECT_FALSE(bb_member_current(n->m, sim_clock(n) + 10 * S + 1));
	EXPECT_FALSE(bb_member_has_quorum(n->m, sim_clock(n)));
	// A newer version ends it early, and a stale answer does not extend it.
	bb_member_note_service_read(n->m, 2, sim_clock(n));
	EXPECT_TRUE(bb_member_current(n->m, sim_clock(n) + 5 * S));
	EXPECT_FALSE(bb_member_current(n->m, sim_clock(n) + 5 * S + 1));
	bb_member_note_service_read(n->m, 1, sim_clock(n) + 4 * S);
	EXPECT_FALSE(bb_member_current(n->m, sim_clock(n) + 5 * S + 1));
	EXPECT_EQ(0, bb_member_update(n->m, f.newer, sim_clock(n), nullptr));
	EXPECT_TRUE(bb_member_current(n->m, sim_clock(n) + 10 * S));
}

// Guards against rounding that lets two sets without a common seat both be a
// quorum.
TEST(Member, QuorumSize)
{
	EXPECT_EQ(1u, bb_member_quorum_size(1));
	EXPECT_EQ(2u, bb_member_quorum_size(2));
	EXPECT_EQ(2u, bb_member_quorum_size(3));
	EXPECT_EQ(3u, bb_member_quorum_size(5));
	EXPECT_EQ(348u, bb_member_quorum_size(580));
	for (size_t n = 1; n < 1000; n++)
		EXPECT_GT(2 * bb_member_quorum_size(n), n);
}
