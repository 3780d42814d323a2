// Attempts of a call at its entry node. The test simulates the other nodes.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "entry_fixture.h"

namespace
{

struct bb_entry_options options()
{
	struct bb_entry_options o = {};

	o.attempt_percent = 50;
	o.slot_searches = 2;
	return o;
}

// The adjacent side of the entry node, whose replies to other nodes are dropped.
struct bb_adjacent *adjacent()
{
	struct bb_adjacent_options o = {};
	struct bb_adjacent *a;
	struct bb_error err;

	o.incarnation = 1;
	o.reply = [](void *, const struct bb_reply_address *,
		     const struct bb_message *) {};
	a = bb_adjacent_new(&o, &err);
	EXPECT_NE(nullptr, a) << err.message;
	return a;
}

// Time until the current step of a call ends.
int64_t step_us(const struct bb_attempts *t)
{
	return g_source_get_ready_time(t->timer) - g_get_monotonic_time();
}

constexpr int64_t TIMEOUT_US = 100 * BB_US_PER_S;

} // namespace

// Guards against redirects, which put no load on a backend server, counting as
// attempts: the next attempt would be taken for the last one and could use all
// of the time left.
TEST(Entry, RedirectsLeaveTimeForAnotherAttempt)
{
	Entry x(options());
	struct bb_attempts *t;

	x.leave_own_host();
	x.welcome_all();
	t = x.submit("book-get", TIMEOUT_US);
	for (int i = 0; i < 3; i++)
		x.refuse_last(BB_REASON_EJECTED);
	ASSERT_EQ(4u, x.executes.size());
	EXPECT_GT(step_us(t), TIMEOUT_US * 49 / 100);
	EXPECT_LT(step_us(t), TIMEOUT_US * 51 / 100);
}

// Guards against time kept back for a second attempt of a non-idempotent
// request, which must not be sent twice.
TEST(Entry, NonIdempotentAttemptMayUseAllOfTheTime)
{
	Entry x(options());

	x.leave_own_host();
	x.welcome_all();
	EXPECT_GT(step_us(x.submit("book", TIMEOUT_US)), TIMEOUT_US * 99 / 100);
}

// Guards against a call that waits at a full backend server while another one
// has a free slot, and against one that searches for a free slot without end
// instead of waiting in a queue.
TEST(Entry, LooksForAFreeSlotBeforeItWaits)
{
	Entry x(options());
	std::set<std::string> asked;

	x.leave_own_host();
	x.welcome_all();
	x.submit("book", TIMEOUT_US);
	for (int i = 0; i < 2; i++) {
		EXPECT_FALSE(x.executes.back().may_wait);
		asked.insert(x.executes.back().backend);
		x.refuse_last(BB_REASON_QUEUE_FULL);
	}
	EXPECT_EQ(2u, asked.size());
	ASSERT_EQ(3u, x.executes.size());
	EXPECT_TRUE(x.executes.back().may_wait);
	/* The retry budget allows one more attempt; further ones would only add
	 * to the overload. */
	x.refuse_last(BB_REASON_QUEUE_FULL);
	ASSERT_EQ(4u, x.executes.size());
	EXPECT_TRUE(x.executes.back().may_wait);
	EXPECT_FALSE(x.finished);
	x.refuse_last(BB_REASON_QUEUE_FULL);
	EXPECT_TRUE(x.finished);
	EXPECT_EQ(BB_VERDICT_NOT_RUN, x.answer.verdict);
	EXPECT_EQ(503u, x.answer.status);
}

// Guards against a request sent on a path that may have been cut: a host that
// has sent nothing for path_check_us must answer a HELLO first.
TEST(Entry, SendsHelloToASilentHostBeforeARequest)
{
	struct bb_entry_options o = options();
	o.path_check_us = 500 * BB_US_PER_MS;
	Entry x(o);
	std::set<uint32_t> asked;

	x.leave_own_host();
	x.welcome_all();
	for (uint32_t i = 1; i < 5; i++)
		bb_sessions_find(x.sessions,
				 x.e->snapshot->config->hosts[i].name)
			->last_heard_us -= o.path_check_us;
	x.submit("book", TIMEOUT_US);
	EXPECT_TRUE(x.executes.empty());
	ASSERT_EQ(1u, x.hellos.size());
	x.welcome(x.hellos.begin()->first);
	ASSERT_EQ(1u, x.executes.size());
	EXPECT_EQ(x.hellos.begin()->first, x.executes.back().host);
	EXPECT_EQ(100u + x.executes.back().host, x.executes.back().incarnation);
}

// Guards against a request that is refused as unanswered, with 504, when the
// nodes that it might go to said that they stop and have ended since.
TEST(Entry, RequestToStoppedHostsIsRefusedAsStopping)
{
	Entry x(options());

	x.leave_own_host();
	x.welcome_all();
	for (uint32_t i = 1; i < 5; i++)
		bb_entry_host_stopping(x.e, i);
	x.submit("book", 500 * BB_US_PER_MS);
	while (!x.finished)
		g_main_context_iteration(NULL, TRUE);
	EXPECT_FALSE(x.hellos.empty());
	EXPECT_EQ(BB_VERDICT_NOT_RUN, x.answer.verdict);
	EXPECT_EQ(BB_REASON_STOPPING, x.answer.reason);
	EXPECT_EQ(503u, x.answer.status);
}

// Guards against 504 for a request whose answer was cut off, because the node
// asked after that did not answer.
TEST(Entry, ReasonIsThatOfTheAttemptThatRan)
{
	Entry x(options());

	x.leave_own_host();
	x.welcome_all();
	x.submit("book-get", 500 * BB_US_PER_MS);
	for (uint32_t i = 1; i < 5; i++)
		bb_sessions_find(x.sessions,
				 x.e->snapshot->config->hosts[i].name)
			->established = false;
	x.refuse_last(BB_REASON_BACKEND_TRUNCATED, BB_VERDICT_RAN);
	EXPECT_FALSE(x.finished);
	while (!x.finished)
		g_main_context_iteration(NULL, TRUE);
	EXPECT_EQ(1u, x.executes.size());
	EXPECT_EQ(BB_VERDICT_RAN, x.answer.verdict);
	EXPECT_EQ(BB_REASON_BACKEND_TRUNCATED, x.answer.reason);
	EXPECT_EQ(502u, x.answer.status);
}

// Guards against a HELLO, and its round trip, before every request.
TEST(Entry, SendsAtOnceToAHostThatAnsweredRecently)
{
	struct bb_entry_options o = options();
	o.path_check_us = 100 * BB_US_PER_S;
	Entry x(o);

	x.leave_own_host();
	x.welcome_all();
	x.submit("book", TIMEOUT_US);
	EXPECT_EQ(1u, x.executes.size());
	EXPECT_TRUE(x.hellos.empty());
}

// Guards against a path that is cut while a request is in progress and is
// noticed only at the deadline, so that more requests are sent on it.
TEST(Entry, UnansweredRequestMarksThePathSilent)
{
	Entry x(options());
	struct bb_attempts *t;
	uint32_t host;

	x.leave_own_host();
	x.welcome_all();
	t = x.submit("book", TIMEOUT_US);
	host = x.executes.back().host;
	bb_entry_tick(x.e, t->sent_us + 200 * BB_US_PER_MS);
	EXPECT_TRUE(x.hellos.empty());
	for (int ms = 250; ms <= 700; ms += 20)
		bb_entry_tick(x.e, t->sent_us + ms * BB_US_PER_MS);
	EXPECT_GE(x.hellos[host], 2);
	EXPECT_TRUE(bb_sessions_find(x.sessions,
				     x.e->snapshot->config->hosts[host].name)
			    ->silent);
	/* It may have run, so only its answer or its deadline ends it. */
	EXPECT_FALSE(x.finished);
	EXPECT_EQ(1u, x.executes.size());
}

// Guards against an idempotent request that waits for an answer that cannot
// arrive, and against a retry of one whose host still answers HELLO.
TEST(Entry, IdempotentRequestIsRetriedWhenItsHostIsSilent)
{
	Entry x(options());
	struct bb_attempts *t;
	int64_t sent_us;
	uint32_t host;

	x.leave_own_host();
	x.welcome_all();
	t = x.submit("book-get", TIMEOUT_US);
	host = x.executes.back().host;
	sent_us = t->sent_us;
	for (int ms = 250; ms <= 400; ms += 20)
		bb_entry_tick(x.e, sent_us + ms * BB_US_PER_MS);
	x.welcome(host);
	EXPECT_EQ(1u, x.executes.size());
	for (int ms = 650; ms <= 1200 && x.executes.size() < 2; ms += 20)
		bb_entry_tick(x.e, sent_us + ms * BB_US_PER_MS);
	ASSERT_EQ(2u, x.executes.size());
	EXPECT_NE(host, x.executes.back().host);
}

namespace
{

// Entry side whose configuration has the policy of reports.
struct ReportedEntry : Entry {
	explicit ReportedEntry(struct bb_entry_options o) : Entry(o)
	{
		policies = ",\"policies\":{\"report_bytes_per_s\":1500}";
		configure(2, { 0, 1, 2, 3, 4 });
		leave_own_host();
	}
	// The host that the only call waits for.
	uint32_t awaited() const
	{
		for (auto &h : hellos)
			if (h.second > 0 && !answered_hosts.count(h.first))
				return h.first;
		return BB_NO_ROW;
	}
	void answer_hello(const struct bb_load &load)
	{
		uint32_t host = awaited();

		ASSERT_NE(BB_NO_ROW, host);
		answered_hosts.insert(host);
		welcome_with(host, load);
	}
	std::set<uint32_t> answered_hosts;
};

} // namespace

// Guards against a redirect by a node that has just told, in its WELCOME, that
// its backend server has to be avoided.
TEST(Entry, OpenBreakerInWelcomeCostsNoAttempt)
{
	ReportedEntry x(options());
	struct bb_attempts *t = x.submit("book-get", TIMEOUT_US);

	x.answer_hello(load_of(0, 5, 400000));
	x.answer_hello(load_of(0, 5, 400000));
	EXPECT_EQ(0u, x.executes.size());
	x.answer_hello(load_of(0, 5, 0));
	ASSERT_EQ(1u, x.executes.size());
	EXPECT_FALSE(t->history.last_resort);
	EXPECT_EQ(1u, bb_attempt_count_without_redirects(&t->history));
	EXPECT_EQ(1u, t->call->attempts_nr);
	// The hints hold for further requests.
	x.now = bb_clock_now_us();
	EXPECT_EQ(2u, x.chosen_backends().size());
}

// Guards against a request that is refused or never sent because all nodes ask
// to be avoided.
TEST(Entry, RequestIsSentAlthoughAllAskToBeAvoided)
{
	ReportedEntry x(options());

	x.submit("book-get", TIMEOUT_US);
	for (int i = 0; i < 4; i++)
		x.answer_hello(load_of(0, 5, 400000));
	ASSERT_EQ(1u, x.executes.size());
	EXPECT_FALSE(x.finished);
}

// Guards against a search for a slot that asks a node which has just told that
// it has none, and against one that does not end.
TEST(Entry, FullServerInWelcomeCostsNoAttempt)
{
	ReportedEntry x(options());

	x.submit("book-get", TIMEOUT_US);
	// Twice as many searches as the setting says may be withheld.
	for (int i = 0; i < 4; i++) {
		EXPECT_EQ(0u, x.executes.size());
		x.answer_hello(load_of(5, 5, 0));
	}
	ASSERT_EQ(1u, x.executes.size());
	EXPECT_TRUE(x.executes[0].may_wait);
}

// Guards against a booking that becomes the trial of a circuit breaker while
// another backend server is free, and against lookups that never do.
TEST(Entry, BookingsAvoidTrials)
{
	ReportedEntry booking(options()), lookup(options());

	booking.submit("book", TIMEOUT_US);
	booking.answer_hello(load_of(0, 1, 0));
	EXPECT_EQ(0u, booking.executes.size());
	booking.answer_hello(load_of(0, 5, 0));
	EXPECT_EQ(1u, booking.executes.size());
	lookup.submit("book-get", TIMEOUT_US);
	lookup.answer_hello(load_of(0, 1, 0));
	EXPECT_EQ(1u, lookup.executes.size());
}

// Guards against reports that change where requests go although the
// configuration does not have the policy.
TEST(Entry, ReportsAreIgnoredWithoutPolicy)
{
	Entry x(options());

	x.leave_own_host();
	x.submit("book-get", TIMEOUT_US);
	ASSERT_EQ(1u, x.hellos.size());
	x.welcome_with(x.hellos.begin()->first, load_of(0, 5, 400000));
	EXPECT_EQ(1u, x.executes.size());
}

// Guards against reports of another incarnation, of a host that the backend
// server is not beside, and of unknown age.
TEST(Entry, UnfitReportsAreIgnored)
{
	ReportedEntry x(options());
	struct bb_backend_report r = { { "o1", 2 },
				       1000,
				       load_of(0, 5, 10 * BB_US_PER_S) };
	const int64_t clock_us = 5 * BB_US_PER_S;

	x.now = bb_clock_now_us();
	bb_entry_reports(x.e, 1, 101, clock_us, &r, 1);
	x.welcome_all();
	bb_entry_reports(x.e, 1, 99, clock_us, &r, 1);
	bb_entry_reports(x.e, 2, 102, clock_us, &r, 1);
	bb_entry_reports(x.e, 1, 101, -3 * BB_US_PER_S, &r, 1);
	bb_entry_reports(x.e, BB_NO_ROW, 101, clock_us, &r, 1);
	EXPECT_EQ(1u, x.chosen_backends().count("o1"));
	bb_entry_reports(x.e, 1, 101, clock_us, &r, 1);
	EXPECT_EQ(0u, x.chosen_backends().count("o1"));
}

// Guards against attempts at the backend server beside the entry node that the
// same process would refuse.
TEST(Entry, OwnServerThatAsksToBeAvoidedCostsNoAttempt)
{
	struct bb_entry_options o = options();
	GHashTable *leaving =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char name[] = "o0";
	struct bb_backend_health health = {};

	o.adjacent = adjacent();
	ASSERT_NE(nullptr, o.adjacent);
	{
		ReportedEntry x(o);

		for (const char *host : { "h2", "h3", "h4" })
			g_hash_table_add(leaving, g_strdup(host));
		bb_entry_set_leaving(x.e, leaving);
		bb_adjacent_configure(o.adjacent, x.e->snapshot);
		health.backend = name;
		health.admit = true;
		health.avoid_until_us = bb_clock_now_us() + BB_US_PER_S;
		bb_adjacent_health_changed(o.adjacent, &health);
		for (int i = 0; i < 20; i++)
			x.submit("book-get", TIMEOUT_US);
		EXPECT_EQ(20u, bb_entry_calls(x.e));
		EXPECT_EQ(0u, bb_adjacent_jobs(o.adjacent));
		EXPECT_EQ(1, x.hellos[1]);
	}
	bb_adjacent_delete(o.adjacent);
}

// Guards against a request that is too large for a message to another node and
// passes for a node that does not answer: callers saw 504 peer-silent, and the
// path counted as failed.
TEST(Entry, UnsendableRequestIsNoSilentPeer)
{
	Entry x(options());

	x.leave_own_host();
	x.welcome_all();
	x.largest_body = 1000;
	x.body = std::string(1001, 'x');
	EXPECT_EQ(nullptr, x.submit("book", TIMEOUT_US));
	ASSERT_TRUE(x.finished);
	EXPECT_EQ(BB_REASON_PEER_LIMIT, x.answer.reason);
	EXPECT_EQ(BB_VERDICT_NOT_RUN, x.answer.verdict);
	EXPECT_EQ(503u, x.answer.status);
	EXPECT_LE(4, x.unfit);
	EXPECT_TRUE(x.executes.empty());
	for (const char *host : { "h1", "h2", "h3", "h4" })
		EXPECT_TRUE(bb_sessions_find(x.sessions, host)->established);
	x.finished = false;
	x.body = std::string(1000, 'x');
	EXPECT_NE(nullptr, x.submit("book", TIMEOUT_US));
	EXPECT_EQ(1u, x.executes.size());
	EXPECT_TRUE(x.hellos.empty());
}

// Guards against the end of the process by an attempt at the backend server beside
// this node that fails after other hosts were removed: its host was looked up by the
// row that it had before.
TEST(Entry, RowOfTheOwnHostFollowsTheConfiguration)
{
	struct bb_entry_options o = options();
	GHashTable *leaving =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	struct bb_message_result r = {};

	o.adjacent = adjacent();
	ASSERT_NE(nullptr, o.adjacent);
	{
		Entry x(o);
		struct bb_attempts *t;

		x.configure(2, { 1, 2, 3, 4, 0 });
		for (const char *host : { "h1", "h2", "h3", "h4" })
			g_hash_table_add(leaving, g_strdup(host));
		bb_entry_set_leaving(x.e, leaving);
		bb_adjacent_configure(o.adjacent, x.e->snapshot);
		t = x.submit("book", TIMEOUT_US);
		ASSERT_NE(nullptr, t);
		ASSERT_TRUE(t->local);
		x.configure(3, { 0 });
		EXPECT_EQ(x.host("h0"), t->host);
		r.id = t->id;
		r.receiver_incarnation = 1;
		r.verdict = BB_VERDICT_MAY_HAVE_RUN;
		r.reason = BB_REASON_BACKEND_FAILED;
		bb_entry_result(x.e, &r);
		EXPECT_TRUE(x.finished);
		EXPECT_EQ(502u, x.answer.status);
	}
	bb_adjacent_delete(o.adjacent);
}

// Guards against parts of a body that are lost, swapped or sent to another node,
// and against a wrong verdict on a request whose body was passed on in part.
TEST(Entry, LargeBodyIsReadInParts)
{
	const uint32_t part = BB_BODY_PART_MAX;
	const uint32_t total = BB_BODY_MAX + part + 5;

	for (bool complete : { false, true }) {
		Entry x(options());
		struct bb_attempts *t;
		std::string sent;

		x.leave_own_host();
		x.welcome_all();
		for (uint32_t i = 0; i < total; i++)
			x.body.push_back((char)(i * 7 / 1000));
		t = x.submit("book", TIMEOUT_US);
		ASSERT_EQ(1u, x.executes.size());
		EXPECT_LE(step_us(t), BB_US_PER_S);
		x.read_body(0, part, x.executes[0].host % 4 + 1);
		x.read_body(part, part);
		x.read_body(0, 0);
		EXPECT_TRUE(x.parts.empty());
		for (uint32_t at = 0; at < total; at += part) {
			if (!complete && at + part >= total)
				break;
			x.read_body(at, MIN(part, total - at));
			x.read_body(at, MIN(part, total - at));
		}
		EXPECT_GT(step_us(t), TIMEOUT_US * 99 / 100);
		for (const std::string &p : x.parts)
			sent += p;
		EXPECT_EQ(complete ? total : BB_BODY_MAX + part, sent.size());
		EXPECT_EQ(0, x.body.compare(0, sent.size(), sent));
		bb_entry_abort(x.e);
		ASSERT_TRUE(x.finished);
		EXPECT_EQ(complete ? BB_VERDICT_MAY_HAVE_RUN :
				     BB_VERDICT_NOT_RUN,
			  x.answer.verdict);
	}
}

// Guards against a node of an earlier version, which drops the announcement of a
// large body, that passes for a slow or silent one.
TEST(Entry, NodeThatNeverAsksForALargeBody)
{
	Entry x(options());

	x.leave_own_host();
	x.welcome_all();
	x.body = std::string(BB_BODY_MAX + 1, 'x');
	x.submit("book", TIMEOUT_US);
	for (int i = 0; i < 100 && !x.finished; i++)
		x.refuse_last(BB_REASON_CANCELLED);
	ASSERT_TRUE(x.finished);
	EXPECT_EQ(BB_REASON_PEER_LIMIT, x.answer.reason);
	EXPECT_EQ(BB_VERDICT_NOT_RUN, x.answer.verdict);
	EXPECT_EQ(503u, x.answer.status);
	EXPECT_TRUE(x.parts.empty());
	// The four nodes are not asked again, which takes a second each.
	x.finished = false;
	EXPECT_EQ(nullptr, x.submit("book", TIMEOUT_US));
	EXPECT_TRUE(x.finished);
	EXPECT_EQ(4u, x.executes.size());
	x.finished = false;
	x.body = "small";
	EXPECT_NE(nullptr, x.submit("book", TIMEOUT_US));
	EXPECT_EQ(5u, x.executes.size());
}

// Guards against a node that asks for the body late, after a pause, and passes for
// one of an earlier version.
TEST(Entry, LateReaderTakesLargeBodies)
{
	Entry x(options());

	x.leave_own_host();
	x.welcome_all();
	x.body = std::string(BB_BODY_MAX + 1, 'x');
	struct bb_attempts *t = x.submit("book", TIMEOUT_US);
	t->state = ATTEMPT_CANCELLING;
	x.read_body(0, BB_BODY_PART_MAX);
	EXPECT_TRUE(x.parts.empty());
	x.refuse_last(BB_REASON_CANCELLED);
	for (const char *host : { "h1", "h2", "h3", "h4" })
		EXPECT_EQ(0, bb_sessions_find(x.sessions, host)
				     ->small_bodies_until_us);
}

// Guards against a report that seems younger than it is, which would prolong a
// hint, or that is taken for one of the future.
TEST(Session, AgeHasBounds)
{
	struct bb_sessions *all = bb_sessions_new();
	struct bb_session *s = bb_sessions_find(all, "h1");
	struct bb_message_welcome w = {};
	struct bb_message m;
	int64_t min_us, max_us;

	bb_session_hello(s, 1, 1, 1000, &m);
	w.nonce = m.hello.nonce;
	w.receiver_clock_us = 50000;
	ASSERT_TRUE(bb_session_welcome(s, &w, 3000));
	bb_session_age(s, 50000, 3000, &min_us, &max_us);
	EXPECT_EQ(0, min_us);
	EXPECT_EQ(2000, max_us);
	// 10 s later, with 1% of clock drift.
	bb_session_age(s, 50000 + 9500000, 10003000, &min_us, &max_us);
	EXPECT_EQ(400000, min_us);
	EXPECT_EQ(602000, max_us);
	bb_session_age(s, 99000000, 10003000, &min_us, &max_us);
	EXPECT_EQ(0, min_us);
	bb_sessions_delete(all);
}
