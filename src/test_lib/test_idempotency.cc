// Tests of the record store of idempotency keys: single cases, and random runs
// of several holders with failures.
#include <glib.h>
#include <gtest/gtest.h>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/idempotency.h"

namespace
{
const int64_t S = BB_US_PER_S;
const int64_t MS = BB_US_PER_MS;
const int64_t WINDOW = 40 * S;

// Holder with a settable number of held seats, and the messages that it sent.
struct store {
	uint32_t seats = 3;
	std::vector<struct bb_message> sent;
	std::deque<std::vector<struct bb_record_entry>> entries;
	GRand *rand = g_rand_new_with_seed(1);
	struct bb_records_options o = {};
	struct bb_records *r = nullptr;
	int64_t since = 0;

	explicit store(uint64_t incarnation = 1)
	{
		o.incarnation = incarnation;
		o.groups = 2;
		o.seats = 3;
		o.window_us = WINDOW;
		o.data = o.send_data = this;
		o.rand = rand;
		o.seats_held = [](void *data, uint32_t, int64_t) {
			return ((store *)data)->seats;
		};
		o.seats_held_since = [](void *data, uint32_t, int64_t since,
					int64_t) {
			auto s = (store *)data;
			return s->since <= since ? s->seats : 0;
		};
		o.send = [](void *data, uint32_t, const struct bb_message *m) {
			auto s = (store *)data;
			s->sent.push_back(*m);
			if (m->type != BB_MESSAGE_RECORD_TRANSFER)
				return;
			auto &t = s->sent.back().record_transfer;
			s->entries.emplace_back(t.entries,
						t.entries + t.entries_nr);
			t.entries = s->entries.back().data();
		};
	}
	~store()
	{
		bb_records_delete(r);
		g_rand_free(rand);
	}
	enum bb_record_state ask(enum bb_record_action action, uint64_t id,
				 int key, int64_t now,
				 enum bb_verdict v = BB_VERDICT_RAN,
				 const std::string &body = "",
				 uint64_t fingerprint = 0)
	{
		struct bb_message_record m = {};
		struct bb_message_record_reply reply;

		if (!r)
			r = bb_records_new(&o);
		m.id = { 9, id };
		m.action = action;
		m.account_hash = 5;
		m.timeout_ms = 5000;
		m.key_hash[0] = key;
		m.key_hash[1] = key >> 8;
		m.fingerprint = fingerprint;
		m.outcome = { v, 201, { "t", 1 }, { body.data(), body.size() } };
		bb_records_handle(r, &m, &reply, now);
		last = reply.outcome;
		return reply.state;
	}
	enum bb_record_state begin(uint64_t id, int key, int64_t now)
	{
		return ask(BB_RECORD_BEGIN, id, key, now);
	}
	std::string last_body() const
	{
		return std::string(last.body.data, last.body.size);
	}
	struct bb_outcome last = {};
};

// Exchanges the messages of a transfer until none is left.
void exchange(store &a, store &b, int64_t now)
{
	while (!a.sent.empty() || !b.sent.empty()) {
		auto from_a = std::move(a.sent), from_b = std::move(b.sent);

		a.sent.clear();
		b.sent.clear();
		for (auto &m : from_a)
			bb_records_receive(b.r, 0, &m, now);
		for (auto &m : from_b)
			bb_records_receive(a.r, 1, &m, now);
	}
}
} // namespace

// Guards against a wrong answer at any stage of a key: unknown, in progress,
// past its deadline, done and expired.
TEST(Idempotency, KeyLifecycle)
{
	store s;
	int64_t t = 100 * S;

	EXPECT_EQ(BB_RECORD_MAY_HAVE_RUN, s.begin(1, 1, 0));
	for (int64_t x = 0; x < t; x += S)
		bb_records_tick(s.r, x);
	EXPECT_EQ(BB_RECORD_ABSENT, s.ask(BB_RECORD_LOOKUP, 1, 1, t));
	EXPECT_EQ(BB_RECORD_NEW, s.begin(1, 1, t));
	EXPECT_EQ(BB_RECORD_NEW, s.begin(1, 1, t));
	EXPECT_EQ(BB_RECORD_IN_PROGRESS, s.begin(2, 1, t));
	EXPECT_EQ(BB_RECORD_MISMATCH,
		  s.ask(BB_RECORD_BEGIN, 2, 1, t, BB_VERDICT_RAN, "", 77));
	EXPECT_EQ(BB_RECORD_MAY_HAVE_RUN, s.begin(2, 1, t + 6 * S));
	/* Only the first late outcome replaces the uncertain answer. */
	EXPECT_EQ(BB_RECORD_DONE, s.ask(BB_RECORD_FINISH, 1, 1, t + 7 * S,
					BB_VERDICT_RAN, "hello"));
	s.ask(BB_RECORD_FINISH, 1, 1, t + 7 * S, BB_VERDICT_NOT_RUN);
	s.ask(BB_RECORD_FINISH, 2, 1, t + 7 * S, BB_VERDICT_NOT_RUN);
	EXPECT_EQ(BB_RECORD_DONE, s.begin(3, 1, t + 39 * S));
	EXPECT_EQ("hello", s.last_body());
	EXPECT_EQ(201u, s.last.status);
	bb_records_tick(s.r, t + 41 * S);
	EXPECT_EQ(0u, bb_records_stats(s.r, t + 41 * S).records);
	EXPECT_EQ(0u, bb_records_stats(s.r, t + 41 * S).body_bytes);
}

// Guards against late and repeated BEGIN and FINISH messages of an attempt that
// did not run, which must not affect a later attempt.
TEST(Idempotency, NotRunFreesTheKeyOnce)
{
	store s;
	int64_t t = 50 * S;

	s.begin(9, 9, 0);
	for (int64_t x = 0; x <= t; x += S)
		bb_records_tick(s.r, x);
	EXPECT_EQ(BB_RECORD_NEW, s.begin(1, 1, t));
	s.ask(BB_RECORD_FINISH, 1, 1, t, BB_VERDICT_NOT_RUN);
	EXPECT_EQ(BB_RECORD_UNAVAILABLE, s.begin(1, 1, t));
	EXPECT_EQ(BB_RECORD_NEW, s.begin(2, 1, t));
	s.ask(BB_RECORD_FINISH, 1, 1, t, BB_VERDICT_NOT_RUN);
	EXPECT_EQ(BB_RECORD_IN_PROGRESS, s.begin(3, 1, t));
	/* FINISH overtakes BEGIN. */
	s.ask(BB_RECORD_FINISH, 4, 2, t, BB_VERDICT_NOT_RUN);
	EXPECT_EQ(BB_RECORD_UNAVAILABLE, s.begin(4, 2, t));
	EXPECT_EQ(BB_RECORD_NEW, s.begin(5, 2, t));
}

// Guards against answers without a majority, and against the answer "new" after
// a gap in which another holder may have recorded the key.
TEST(Idempotency, MajorityAndGaps)
{
	store s;
	int64_t t = 50 * S;

	s.begin(9, 9, 0);
	for (int64_t x = 0; x <= t; x += S)
		bb_records_tick(s.r, x);
	EXPECT_EQ(BB_RECORD_NEW, s.begin(1, 1, t));
	s.seats = 1;
	EXPECT_EQ(BB_RECORD_UNAVAILABLE, s.begin(2, 1, t));
	EXPECT_EQ(BB_RECORD_UNAVAILABLE, s.begin(2, 2, t));
	s.seats = 2;
	/* A short gap after a whole window keeps the coverage. */
	t = s.since = t + 10 * S;
	EXPECT_EQ(BB_RECORD_NEW, s.begin(2, 2, t));
	EXPECT_EQ(BB_RECORD_MAY_HAVE_RUN, s.begin(3, 1, t));
	/* A second one ends it: the majority was not held for a window. */
	t = s.since = t + S;
	EXPECT_EQ(BB_RECORD_MAY_HAVE_RUN, s.begin(3, 3, t));
	EXPECT_EQ(BB_RECORD_IN_PROGRESS, s.begin(3, 2, t));
	/* An outcome is stored although there is no record of the attempt. */
	EXPECT_EQ(BB_RECORD_DONE, s.ask(BB_RECORD_FINISH, 7, 7, t));
	EXPECT_EQ(BB_RECORD_DONE, s.begin(8, 7, t));
	for (int64_t x = t; x <= t + 41 * S; x += S)
		bb_records_tick(s.r, x);
	EXPECT_EQ(BB_RECORD_NEW, s.begin(4, 3, t + 41 * S));
	/* Without exact knowledge, a long time between checks is a gap. */
	s.o.seats_held_since = NULL;
	bb_records_delete(s.r);
	s.r = NULL;
	s.begin(1, 1, 0);
	for (int64_t x = 0; x <= 41 * S; x += S)
		bb_records_tick(s.r, x);
	EXPECT_EQ(BB_RECORD_NEW, s.begin(1, 1, 41 * S));
	EXPECT_EQ(BB_RECORD_MAY_HAVE_RUN, s.begin(1, 2, 43 * S));
}

// Guards against dropping records inside the window when a limit is reached.
TEST(Idempotency, LimitsRefuseNewKeys)
{
	store s;
	int64_t t = 50 * S;

	s.o.account_records_max = 3;
	s.o.body_max = 8;
	s.begin(9, 9, 0);
	for (int64_t x = 0; x <= t; x += S)
		bb_records_tick(s.r, x);
	for (int key = 1; key <= 3; key++)
		EXPECT_EQ(BB_RECORD_NEW, s.begin(key, key, t));
	EXPECT_EQ(BB_RECORD_UNAVAILABLE, s.begin(4, 4, t));
	EXPECT_EQ(1u, bb_records_stats(s.r, t).limit_refusals);
	s.ask(BB_RECORD_FINISH, 1, 1, t, BB_VERDICT_RAN, "far too long");
	EXPECT_EQ(BB_RECORD_DONE, s.begin(4, 1, t));
	EXPECT_EQ((uint32_t)BB_RECORD_STATUS_NOT_KEPT, s.last.status);
	EXPECT_EQ(BB_VERDICT_RAN, s.last.verdict);
	for (int64_t x = t; x <= t + 41 * S; x += S)
		bb_records_tick(s.r, x);
	EXPECT_EQ(BB_RECORD_NEW, s.begin(4, 4, t + 41 * S));
}

// Guards against records lost in a planned stop, and against a transfer that
// counts although a part is missing or the next holder got the majority too
// late.
TEST(Idempotency, Transfer)
{
	for (int fault = 0; fault < 5; fault++) {
		store a(1), b(2);
		int64_t t = 100 * S;
		const int n = 1500;

		b.seats = 0;
		a.begin(9, 9, 0);
		b.begin(9, 9, 0);
		for (int64_t x = 0; x <= t; x += S)
			bb_records_tick(a.r, x);
		for (int key = 0; key < n; key++)
			ASSERT_EQ(BB_RECORD_NEW, a.begin(key, key, t));
		a.ask(BB_RECORD_FINISH, 1, 1, t, BB_VERDICT_RAN, "one");
		bb_records_hand_over(a.r, 0, 1, t);
		EXPECT_EQ(1u, bb_records_handovers_pending(a.r));
		if (fault == 1 || fault == 4) {
			/* One of two parts is lost. */
			bb_records_receive(b.r, 0, &a.sent[0], t);
			a.sent.clear();
			bb_records_receive(a.r, 1, &b.sent[0], t);
			b.sent.clear();
			ASSERT_EQ(2u, a.sent.size());
			a.sent.erase(a.sent.begin() + (fault == 1));
		}
		exchange(a, b, t);
		EXPECT_EQ(0u, bb_records_handovers_pending(a.r));
		EXPECT_EQ(BB_RECORD_UNAVAILABLE, a.begin(n, n, t));
		a.seats = 0;
		t += fault == 2 ? 11 * S : S;
		b.seats = 2;
		b.since = t;
		if (fault == 3) {
			/* The outcome reaches the next holder. */
			EXPECT_EQ(BB_RECORD_DONE,
				  b.ask(BB_RECORD_FINISH, 2, 2, t,
					BB_VERDICT_RAN, "two"));
			EXPECT_EQ(BB_RECORD_DONE, b.begin(n, 2, t));
			EXPECT_EQ("two", b.last_body());
		}
		EXPECT_EQ(fault == 0 || fault == 3 ? BB_RECORD_NEW :
						     BB_RECORD_MAY_HAVE_RUN,
			  b.begin(n, n, t));
		EXPECT_EQ(BB_RECORD_MAY_HAVE_RUN, b.begin(n, 3, t));
		if (fault == 4)
			continue;
		EXPECT_EQ(BB_RECORD_DONE, b.begin(n, 1, t));
		EXPECT_EQ("one", b.last_body());
	}
}

// Guards against coverage that the sender of a transfer did not have, and
// against coverage kept over a gap whose length is not known exactly. The
// random runs below do not detect these faults.
TEST(Idempotency, NoCoverageWithoutProof)
{
	store a(1), b(2), c(3);
	int64_t t = 20 * S;

	b.seats = 0;
	b.begin(9, 9, 0);
	for (int64_t x = 0; x <= t; x += S)
		a.begin(9, 9, x);
	bb_records_hand_over(a.r, 0, 1, t);
	exchange(a, b, t);
	a.seats = 0;
	b.seats = 3;
	b.since = t;
	EXPECT_EQ(BB_RECORD_MAY_HAVE_RUN, b.begin(1, 1, t));
	EXPECT_EQ(BB_RECORD_MAY_HAVE_RUN, b.begin(1, 1, t + 40 * S));
	EXPECT_EQ(BB_RECORD_NEW, b.begin(1, 1, t + 41 * S));

	c.o.seats_held_since = NULL;
	c.begin(9, 9, 0);
	for (int64_t x = 0; x <= 50 * S; x += S)
		bb_records_tick(c.r, x);
	c.seats = 0;
	bb_records_tick(c.r, 51 * S);
	c.seats = 3;
	EXPECT_EQ(BB_RECORD_MAY_HAVE_RUN, c.begin(1, 1, 52 * S));
}

// Guards against the answer "new" too early after the window was made longer:
// records may have been dropped under the shorter window.
TEST(Idempotency, LongerWindow)
{
	store s;

	s.begin(9, 9, 0);
	for (int64_t x = 0; x <= 50 * S; x += S)
		bb_records_tick(s.r, x);
	bb_records_configure(s.r, 3, 100 * S, 50 * S);
	EXPECT_EQ(BB_RECORD_MAY_HAVE_RUN, s.begin(1, 1, 50 * S));
	for (int64_t x = 50 * S; x <= 111 * S; x += S)
		bb_records_tick(s.r, x);
	EXPECT_EQ(BB_RECORD_NEW, s.begin(1, 1, 111 * S));
}

namespace
{
// Simulation of several holders, lenders with exclusive leases, and messages
// that are late, lost or repeated. Its check does not depend on how records are
// kept.
struct fleet {
	static const uint32_t NODES = 4, SEATS = 5, KEYS = 30;

	struct node {
		fleet *f;
		uint32_t index;
		uint64_t incarnation;
		double rate;
		struct bb_records *r = nullptr;
		int64_t paused_until = 0, down_until = 0, release_at = 0;
	};
	struct lease {
		uint32_t node = 0;
		uint64_t incarnation = 0;
		int64_t start = 0, end = 0;
		uint32_t wants = 0;
	};
	struct event {
		uint32_t to;
		std::function<void()> run;
	};
	struct use {
		int64_t at;
		uint64_t id;
	};

	GRand *g;
	int64_t now = 0;
	uint64_t incarnations = 0, ids = 0, answered_new = 0, transfers = 0;
	bool exact;
	std::vector<node> nodes;
	lease leases[SEATS];
	std::multimap<int64_t, event> events;
	std::map<uint32_t, use> used;
	std::map<uint64_t, uint32_t> keys;
	std::set<uint64_t> reported;

	int random(int n)
	{
		return g_rand_int_range(g, 0, n);
	}
	bool chance(double p)
	{
		return g_rand_double(g) < p;
	}
	static int64_t local(const node &n, int64_t t)
	{
		return (int64_t)((double)t * n.rate);
	}
	bool up(const node &n) const
	{
		return n.r && now >= n.paused_until;
	}
	bool valid(const lease &l, const node &n) const
	{
		return l.node == n.index && l.incarnation == n.incarnation &&
		       now < l.end - 100 * MS;
	}

	fleet(uint32_t seed, bool exact) : exact(exact)
	{
		g = g_rand_new_with_seed(seed);
		nodes.resize(NODES);
		for (uint32_t i = 0; i < NODES; i++) {
			nodes[i].f = this;
			nodes[i].index = i;
			nodes[i].rate = 0.996 + 0.008 * g_rand_double(g);
			start(nodes[i]);
		}
	}
	~fleet()
	{
		for (auto &n : nodes)
			bb_records_delete(n.r);
		g_rand_free(g);
	}

	void start(node &n)
	{
		struct bb_records_options o = {};

		n.incarnation = ++incarnations;
		n.release_at = n.down_until = 0;
		o.incarnation = n.incarnation;
		o.groups = 1;
		o.seats = SEATS;
		o.window_us = WINDOW;
		o.rand = g;
		o.data = o.send_data = &n;
		o.seats_held = [](void *data, uint32_t, int64_t) {
			auto n = (node *)data;
			uint32_t count = 0;

			for (auto &l : n->f->leases)
				count += n->f->valid(l, *n);
			return count;
		};
		if (exact)
			o.seats_held_since = [](void *data, uint32_t,
						int64_t since, int64_t) {
				auto n = (node *)data;
				uint32_t count = 0;

				for (auto &l : n->f->leases)
					count += n->f->valid(l, *n) &&
						 local(*n, l.start) <= since;
				return count;
			};
		o.send = [](void *data, uint32_t to,
			    const struct bb_message *m) {
			auto n = (node *)data;

			if (m->type == BB_MESSAGE_RECORD_REPLY)
				n->f->reply(*n, m->record_reply);
			else
				n->f->transfer(*n, to, m->record_transfer);
		};
		n.r = bb_records_new(&o);
	}
	void stop(node &n)
	{
		bb_records_delete(n.r);
		n.r = nullptr;
		n.down_until = now + random(20 * S);
	}

	// Delivers a message late, twice or not at all.
	void post(uint32_t to, std::function<void()> run)
	{
		for (int copies = chance(0.05) ? 2 : 1; copies; copies--) {
			int64_t delay =
				random(chance(0.05) ? 60 * S : 200 * MS);

			if (!chance(0.04))
				events.insert({ now + delay, { to, run } });
		}
	}
	void to_node(uint32_t to, const struct bb_message &m, uint32_t from)
	{
		post(to, [this, to, m, from] {
			bb_records_receive(nodes[to].r, from, &m,
					   local(nodes[to], now));
		});
	}
	void transfer(node &n, uint32_t to,
		      const struct bb_message_record_transfer &t)
	{
		auto copy =
			std::make_shared<std::vector<struct bb_record_entry>>(
				t.entries, t.entries + t.entries_nr);
		struct bb_message m = {};
		uint32_t from = n.index;

		/* Bodies are not owned by the copy. */
		for (auto &e : *copy)
			e.outcome.body = e.outcome.content_type = {};
		m.type = BB_MESSAGE_RECORD_TRANSFER;
		m.record_transfer = t;
		m.record_transfer.entries = copy->data();
		transfers += t.complete;
		post(to, [this, to, m, from, copy] {
			bb_records_receive(nodes[to].r, from, &m,
					   local(nodes[to], now));
		});
	}
	void reply(node &, const struct bb_message_record_reply &answer)
	{
		uint64_t id = answer.id.sequence;
		uint32_t key = keys[id];

		/* The requester of a finished attempt ignores late answers. */
		if (answer.state != BB_RECORD_NEW || reported.count(id))
			return;
		auto it = used.find(key);
		if (it != used.end() && it->second.id != id) {
			ASSERT_GE(now - it->second.at, WINDOW) << "key " << key;
		}
		/* A repeated answer to the same attempt is no new use. */
		if (it == used.end() || it->second.id != id) {
			used[key] = { now, id };
			answered_new++;
		}
		post(NODES, [this, id, key] { execute(id, key); });
	}
	struct bb_message message(uint64_t id, uint32_t key,
				  enum bb_record_action action)
	{
		struct bb_message m = {};

		m.type = BB_MESSAGE_RECORD;
		m.record.id = { 1, id };
		m.record.action = action;
		m.record.timeout_ms = 10000;
		m.record.key_hash[0] = key;
		return m;
	}
	void execute(uint64_t id, uint32_t key)
	{
		struct bb_message m = message(id, key, BB_RECORD_FINISH);
		int v = random(BB_VERDICT_COUNT);

		/* The first report of an attempt counts. */
		if (!reported.insert(id).second)
			return;
		m.record.outcome.verdict = (enum bb_verdict)v;
		m.record.outcome.status = 200;
		if (v == BB_VERDICT_NOT_RUN && used[key].id == id)
			used.erase(key);
		for (int i = 0; i < 2; i++)
			to_node(i ? random(NODES) : holder(), m, NODES);
	}
	uint32_t holder()
	{
		for (auto &n : nodes) {
			uint32_t count = 0;

			for (auto &l : leases)
				count += valid(l, n);
			if (2 * count > SEATS)
				return n.index;
		}
		return random(NODES);
	}
	void lend()
	{
		for (auto &l : leases) {
			node &n = nodes[l.wants];

			if (chance(0.002))
				l.wants = random(NODES);
			if (!up(n) || n.release_at || chance(0.05))
				continue;
			if (l.node == n.index &&
			    l.incarnation == n.incarnation && now < l.end) {
				/* The borrower sees a gap after its own end. */
				if (!valid(l, n))
					l.start = now;
				l.end = now + 8 * S;
			} else if (now >= l.end) {
				l.node = n.index;
				l.incarnation = n.incarnation;
				l.start = now;
				l.end = now + 8 * S;
			}
		}
	}
	void fail(node &n, double p)
	{
		if (!n.r) {
			if (now >= n.down_until)
				start(n);
			return;
		}
		if (n.release_at) {
			if (bb_records_handovers_pending(n.r) &&
			    now < n.release_at)
				return;
			for (auto &l : leases)
				if (l.node == n.index &&
				    l.incarnation == n.incarnation)
					l.end = now;
			stop(n);
		} else if (chance(p)) {
			stop(n);
		} else if (chance(p)) {
			n.paused_until = now + random(60 * S);
		} else if (chance(2 * p) && up(n)) {
			uint32_t next =
				(n.index + 1 + random(NODES - 1)) % NODES;

			n.release_at = now + 3 * S;
			for (auto &l : leases)
				l.wants = next;
			bb_records_hand_over(n.r, 0, next, local(n, now));
		}
	}
	void step(double p)
	{
		lend();
		for (auto &n : nodes) {
			fail(n, p);
			if (up(n))
				bb_records_tick(n.r, local(n, now));
		}
		if (chance(0.3)) {
			uint64_t id = ++ids;
			uint32_t key = random(KEYS);

			keys[id] = key;
			to_node(chance(0.8) ? holder() : random(NODES),
				message(id, key, BB_RECORD_BEGIN), NODES);
		}
		while (!events.empty() && events.begin()->first <= now) {
			event e = events.begin()->second;

			events.erase(events.begin());
			if (e.to == NODES || up(nodes[e.to]))
				e.run();
			else if (nodes[e.to].r)
				events.insert({ nodes[e.to].paused_until, e });
		}
		now += 100 * MS;
	}
};
} // namespace

// Guards against the answer "new" to two attempts with one key within the
// window while holders crash, pause, stop, restart, and lose and regain
// majorities, and against a store that passes because it never answers "new".
TEST(Idempotency, NoKeyIsNewTwice)
{
	uint64_t answered = 0, transfers = 0;

	for (uint32_t seed = 0; seed < 60; seed++) {
		fleet f(seed, seed % 3 != 0);

		for (int i = 0; i < 8000 && !HasFatalFailure(); i++)
			f.step(seed % 2 ? 0.0005 : 0.0001);
		ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
		answered += f.answered_new;
		transfers += f.transfers;
	}
	EXPECT_GT(answered, 2000u);
	EXPECT_GT(transfers, 60u);
	printf("answered new %lu, transfers %lu\n", answered, transfers);
}
