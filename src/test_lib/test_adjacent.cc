// Refusals of the adjacent side, without a running backend server.
#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>

#include <cstring>
#include <string>
#include <vector>

#include "baobabward/clock.h"
#include "config_fixture.h"

extern "C" {
#include "libnode/adjacent.h"
}

namespace
{

// The adjacent side of host h1 with the backend server o1 in state "in".
struct Adjacent {
	GMainContext *context = g_main_context_new();
	struct bb_snapshots *snapshots = bb_snapshots_new("h1");
	std::vector<struct bb_message_result> results;
	std::vector<struct bb_message_body_read> reads;
	struct bb_adjacent *a;
	std::string body;
	// Requests come from this node, not from another one.
	bool local = true;
	// Entry node of requests with a large body.
	struct bb_sender entry = { 0, true, { 1, 2, 3, 4, 5 } };

	explicit Adjacent(struct bb_body_memory *memory = nullptr)
	{
		struct bb_adjacent_options o = {};
		struct bb_error err = {};

		o.context = context;
		o.incarnation = 7;
		o.reply = [](void *data, const struct bb_reply_address *,
			     const struct bb_message *m) {
			if (m->type == BB_MESSAGE_BODY_READ)
				((Adjacent *)data)
					->reads.push_back(m->body_read);
			else
				((Adjacent *)data)->results.push_back(m->result);
		};
		o.data = this;
		o.memory = memory;
		a = bb_adjacent_new(&o, &err);
		configure(1, "in");
	}
	~Adjacent()
	{
		bb_adjacent_delete(a);
		bb_snapshots_delete(snapshots);
		g_main_context_unref(context);
	}
	void configure(int version, const std::string &state,
		       const std::string &extra = "")
	{
		struct bb_snapshot *s;
		Document d;
		std::string was = "\"state\":\"in\"";

		d.version = std::to_string(version);
		d.extra = extra;
		d.backends.replace(d.backends.find(was), was.size(),
				   "\"state\":\"" + state + "\"");
		ASSERT_TRUE(bb_snapshots_swap(snapshots,
					      parse(d.json()).release()));
		s = bb_snapshots_get(snapshots);
		bb_adjacent_configure(a, s);
		bb_snapshot_put(s);
	}
	// Returns the reason for a refusal, or BB_REASON_NONE if the request
	// waits or runs, or if its body of @body_bytes is being read.
	enum bb_reason execute(uint64_t sequence,
			       const std::string &account = "account-1",
			       uint32_t body_bytes = 0)
	{
		struct bb_reply_address to = {};
		struct bb_message_execute x = {};
		size_t before = results.size();

		to.local = local;
		x.id.incarnation = 5;
		x.id.sequence = sequence;
		x.receiver_incarnation = 7;
		x.not_after_us = bb_clock_now_us() + 100 * BB_US_PER_S;
		x.backend = { "o1", 2 };
		x.may_wait = true;
		x.account = { account.data(), account.size() };
		x.route = { "book", 4 };
		x.method = { "POST", 4 };
		x.target = { "/book", 5 };
		x.body = { body.data(), body.size() };
		if (body_bytes) {
			struct bb_message_execute_large large = { x,
								  body_bytes };

			to.local = false;
			to.sender = entry;
			bb_adjacent_execute_large(a, &to, nullptr, &large);
		} else {
			bb_adjacent_execute(a, &to, nullptr, &x);
		}
		if (results.size() == before)
			return BB_REASON_NONE;
		EXPECT_EQ(BB_VERDICT_NOT_RUN, results.back().verdict);
		return results.back().reason;
	}
	// Sends a part of the body of a request.
	void send_part(uint64_t sequence, uint32_t offset, size_t size,
		       const struct bb_sender &from)
	{
		struct bb_message_body_part p = {};
		std::string bytes(size, 'x');

		p.id.incarnation = 5;
		p.id.sequence = sequence;
		p.receiver_incarnation = 7;
		p.offset = offset;
		p.bytes = { bytes.data(), bytes.size() };
		bb_adjacent_body_part(a, &from, &p);
	}
	// Sends all that is asked for, of which the request is @sequence.
	void send_parts(uint64_t sequence)
	{
		for (size_t i = 0; i < reads.size(); i++)
			send_part(sequence, reads[i].offset, reads[i].size,
				  entry);
	}
};

} // namespace

// Guards against new requests on a host that the platform is removing, from
// entry nodes that do not know it yet, and against a newer configuration that
// resets the leaving state. The time in the result makes these entry nodes send
// their next requests elsewhere.
TEST(Adjacent, LeavingHostRefusesNewRequests)
{
	Adjacent x;

	bb_adjacent_set_leaving(x.a, true);
	EXPECT_EQ(BB_REASON_LEAVING, x.execute(1));
	EXPECT_GE(x.results.back().load.avoid_for_us, BB_US_PER_S);
	EXPECT_LE(x.results.back().load.avoid_for_us, 3 * BB_US_PER_S);
	EXPECT_GT(x.results.back().load.slots, 0u);
	x.configure(2, "in");
	EXPECT_EQ(BB_REASON_LEAVING, x.execute(2));
	EXPECT_EQ(0u, bb_adjacent_jobs(x.a));
	bb_adjacent_set_leaving(x.a, false);
	EXPECT_EQ(BB_REASON_NONE, x.execute(3));
	EXPECT_EQ(1u, bb_adjacent_jobs(x.a));
}

// Guards against running requests that are interrupted, and queued requests
// that keep waiting, when the platform removes the host.
TEST(Adjacent, LeavingHostRefusesQueuedRequests)
{
	Adjacent x;

	// There are five slots. Requests that got one run until the end of the
	// test, because nothing runs the main loop.
	for (uint64_t i = 1; i <= 8; i++)
		EXPECT_EQ(BB_REASON_NONE, x.execute(i));
	ASSERT_EQ(8u, bb_adjacent_jobs(x.a));
	bb_adjacent_set_leaving(x.a, true);
	EXPECT_EQ(x.results.size() + bb_adjacent_jobs(x.a), 8u);
	EXPECT_GE(x.results.size(), 3u);
	EXPECT_GE(bb_adjacent_jobs(x.a), 1u);
	for (auto &r : x.results) {
		EXPECT_EQ(BB_VERDICT_NOT_RUN, r.verdict);
		EXPECT_EQ(BB_REASON_LEAVING, r.reason);
	}
}

// Guards against the state "leaving" in the configuration being overwritten by
// the leaving state of the host.
TEST(Adjacent, ConfiguredLeavingStateIsKept)
{
	Adjacent x;

	x.configure(2, "leaving");
	EXPECT_EQ(BB_REASON_LEAVING, x.execute(1));
	EXPECT_GE(x.results.back().load.avoid_for_us, BB_US_PER_S);
	bb_adjacent_set_leaving(x.a, true);
	bb_adjacent_set_leaving(x.a, false);
	EXPECT_EQ(BB_REASON_LEAVING, x.execute(2));
}

// Guards against load reports that carry work where the policy is off, and
// against reports without it where it is on.
TEST(Adjacent, ReportsWorkOnlyWithThePolicy)
{
	for (bool on : { false, true }) {
		Adjacent x;

		x.configure(2, "in",
			    on ? ",\"policies\":{\"place_by_cost\":1}" : "");
		for (uint64_t i = 1; i <= 8; i++)
			EXPECT_EQ(BB_REASON_NONE, x.execute(i));
		bb_adjacent_set_leaving(x.a, true);
		ASSERT_GE(x.results.size(), 3u);
		for (auto &r : x.results) {
			EXPECT_EQ(on, r.load.work_us > 0);
			EXPECT_EQ(on ? 1000u : 0u, r.load.speed_permille);
			EXPECT_EQ(0, r.service_us);
		}
		// Five run and three waited; the mean time is 20 ms at first.
		if (on)
			EXPECT_LE(x.results.back().load.work_us,
				  8 * 20 * BB_US_PER_MS);
	}
}

// Guards against calls on behalf of running requests that are refused while new
// work waits, and against new work that is refused for them without the policy.
TEST(Adjacent, CallsDisplaceNewWorkWithRankOrder)
{
	for (bool ranked : { false, true }) {
		Adjacent x;
		uint64_t id = 0;

		x.configure(2, "in",
			    ranked ? ",\"policies\":{\"rank_order\":1}" : "");
		// Five run and 32 wait, the most of one account. The new
		// connections start one in each millisecond.
		while (!x.execute(++id))
			;
		EXPECT_EQ(BB_REASON_QUEUE_FULL, x.results.back().reason);
		uint64_t waiting_max = id;
		x.results.clear();
		for (int i = 0; i < 32; i++)
			EXPECT_EQ(BB_REASON_NONE, x.execute(++id, ""));
		if (!ranked) {
			EXPECT_EQ(BB_REASON_QUEUE_FULL, x.execute(++id, ""));
			continue;
		}
		// Up to 128 wait; then a call takes the place of a request of
		// the account.
		for (int i = 0; i < 100 && x.results.empty(); i++)
			x.execute(++id, "");
		ASSERT_EQ(1u, x.results.size());
		EXPECT_EQ(BB_REASON_QUEUE_FULL, x.results[0].reason);
		EXPECT_LT(x.results[0].id.sequence, waiting_max);
	}
}

// Guards against bodies of other nodes that take more than the limit, small
// requests that are refused for it, memory that stays counted after a request,
// and bodies of this node that are counted twice.
TEST(Adjacent, BodiesOfOtherNodesShareTheMemory)
{
	struct bb_body_memory_options o = {};
	struct bb_body_memory_use use;
	struct bb_body_memory *m;

	o.limit = 400000;
	m = bb_body_memory_new(&o);
	{
		Adjacent x(m);

		x.local = false;
		x.body = std::string(100000, 'x');
		for (uint64_t i = 1; i <= 3; i++)
			EXPECT_EQ(BB_REASON_NONE, x.execute(i));
		EXPECT_EQ(BB_REASON_BODY_MEMORY, x.execute(4));
		EXPECT_EQ(503u, x.results.back().status);
		EXPECT_EQ(3u, bb_adjacent_jobs(x.a));
		x.body = std::string(1024, 'x');
		EXPECT_EQ(BB_REASON_NONE, x.execute(5));
		bb_body_memory_use(m, &use);
		EXPECT_EQ(301024u, use.stages[BB_BODY_FORWARDED]);
		x.local = true;
		x.body = std::string(100000, 'x');
		EXPECT_EQ(BB_REASON_NONE, x.execute(6));
		bb_body_memory_use(m, &use);
		EXPECT_EQ(301024u, use.stages[BB_BODY_FORWARDED]);
	}
	bb_body_memory_use(m, &use);
	EXPECT_EQ(0u, use.stages[BB_BODY_FORWARDED]);
	bb_body_memory_delete(m);
}

namespace
{

constexpr uint32_t LARGE_BYTES = BB_BODY_MAX + 5;

uint64_t forwarded(struct bb_body_memory *m)
{
	struct bb_body_memory_use use;

	bb_body_memory_use(m, &use);
	return use.stages[BB_BODY_FORWARDED];
}

} // namespace

// Guards against a large body that travels before there is memory for it: many
// nodes that send one at once would take a node out of memory.
TEST(Adjacent, LargeBodyIsAdmittedBeforeItIsRead)
{
	struct bb_body_memory_options o = {};
	struct bb_body_memory *m;

	o.limit = 8u << 20;
	m = bb_body_memory_new(&o);
	{
		Adjacent x(m);

		EXPECT_EQ(BB_REASON_NONE, x.execute(1, "", LARGE_BYTES));
		EXPECT_EQ(LARGE_BYTES, forwarded(m));
		ASSERT_EQ(1u, x.reads.size());
		for (uint64_t i = 2; i < 10; i++)
			EXPECT_EQ(BB_REASON_BODY_MEMORY,
				  x.execute(i, "", LARGE_BYTES));
		EXPECT_EQ(1u, x.reads.size());
		x.send_parts(1);
		EXPECT_EQ(17u, x.reads.size());
		EXPECT_EQ(1u, bb_adjacent_jobs(x.a));
		EXPECT_EQ(8u, x.results.size());
		EXPECT_EQ(LARGE_BYTES, forwarded(m));
	}
	EXPECT_EQ(0u, forwarded(m));
	bb_body_memory_delete(m);
}

// Guards against a body made of parts that were not asked for, or of those of
// another connection.
TEST(Adjacent, OnlyPartsThatWereAskedForAreTaken)
{
	Adjacent x;
	struct bb_sender other = { 0, true, { 1, 2, 3, 4, 6 } };
	struct bb_sender reply = { 0, false, { 1, 2, 3, 4, 5 } };

	EXPECT_EQ(BB_REASON_NONE, x.execute(1, "", LARGE_BYTES));
	ASSERT_EQ(1u, x.reads.size());
	EXPECT_EQ(0u, x.reads[0].offset);
	EXPECT_EQ(BB_BODY_PART_MAX, x.reads[0].size);
	x.send_part(1, 0, BB_BODY_PART_MAX, other);
	x.send_part(1, 0, BB_BODY_PART_MAX, reply);
	x.send_part(1, 0, BB_BODY_PART_MAX - 1, x.entry);
	x.send_part(1, BB_BODY_PART_MAX, BB_BODY_PART_MAX, x.entry);
	x.send_part(2, 0, BB_BODY_PART_MAX, x.entry);
	EXPECT_EQ(1u, x.reads.size());
	x.send_part(1, 0, BB_BODY_PART_MAX, x.entry);
	ASSERT_EQ(2u, x.reads.size());
	EXPECT_EQ(BB_BODY_PART_MAX, x.reads[1].offset);
	x.send_part(1, 0, BB_BODY_PART_MAX, x.entry);
	EXPECT_EQ(2u, x.reads.size());
}

// Guards against a request that is cancelled, or whose backend server leaves,
// while its body is read, and runs all the same or keeps its memory.
TEST(Adjacent, RequestEndsWhileItsBodyIsRead)
{
	struct bb_body_memory_options o = {};
	struct bb_body_memory *m = bb_body_memory_new(&o);
	{
		Adjacent x(m);
		struct bb_reply_address to = {};
		struct bb_message_cancel cancel = { { 5, 1 }, 7, INT64_MAX };

		EXPECT_EQ(BB_REASON_NONE, x.execute(1, "", LARGE_BYTES));
		x.send_part(1, 0, BB_BODY_PART_MAX, x.entry);
		bb_adjacent_cancel(x.a, &to, &cancel);
		ASSERT_EQ(1u, x.results.size());
		EXPECT_EQ(BB_VERDICT_NOT_RUN, x.results[0].verdict);
		EXPECT_EQ(BB_REASON_CANCELLED, x.results[0].reason);
		EXPECT_EQ(0u, bb_adjacent_jobs(x.a));
		EXPECT_EQ(0u, forwarded(m));
		x.send_part(1, BB_BODY_PART_MAX, BB_BODY_PART_MAX, x.entry);
		EXPECT_EQ(1u, x.results.size());

		x.reads.clear();
		EXPECT_EQ(BB_REASON_NONE, x.execute(2, "", LARGE_BYTES));
		x.configure(2, "leaving");
		x.send_parts(2);
		ASSERT_EQ(2u, x.results.size());
		EXPECT_EQ(BB_VERDICT_NOT_RUN, x.results[1].verdict);
		EXPECT_EQ(BB_REASON_LEAVING, x.results[1].reason);
		EXPECT_EQ(0u, bb_adjacent_jobs(x.a));
		EXPECT_EQ(0u, forwarded(m));
	}
	bb_body_memory_delete(m);
}
