// Cold backend servers without a network: the state of the adjacent node and the
// pace of its requests against simulated backend servers that count arrivals.
#include <glib.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/pace.h"
#include "baobabward/warmup.h"

namespace
{

const int64_t kMs = BB_US_PER_MS;
const int64_t kSecond = BB_US_PER_S;
const int64_t kStep = 1 * kMs;
// Time of a health check at the backend server.
const int64_t kCheck = 25 * kMs;

const struct bb_warmup_terms kTerms = { 3 * kSecond, 11, 11 * 1.5 + 8 };

// A backend server that tells the truth in its health answers, and its adjacent
// node, which starts a request at each time that its pace and the load allow.
struct Server {
	struct bb_warmup_terms terms = kTerms;
	struct bb_warmup w = {};
	struct bb_pace pace = {};
	int64_t now = 1000 * kSecond;
	int64_t cold_until = 0;
	bool up = true, hangs = false;
	// Requests per second that would be started without a limit.
	double load = 60;
	double due = 0;
	int64_t answer_at = 0;
	int checks = 0;
	std::vector<int64_t> arrivals, cold_arrivals;

	void start_node(int64_t registered_left = 0)
	{
		w = {};
		pace = {};
		answer_at = 0;
		bb_warmup_started(&w, &terms, until(registered_left), now);
	}
	int64_t until(int64_t left) const
	{
		return left > 0 ? now + left : 0;
	}
	void become_cold()
	{
		cold_until = now + terms.cold_us;
	}
	bool is_cold() const
	{
		return now < cold_until;
	}
	void check()
	{
		if (bb_warmup_check_due(&w, now)) {
			bb_warmup_check_sent(&w, now);
			checks++;
			answer_at = now + (hangs ? kSecond : kCheck);
		}
		if (!answer_at || now < answer_at)
			return;
		answer_at = 0;
		if (hangs || !up)
			bb_warmup_check_failed(&w, !up, now);
		else
			bb_warmup_check_answered(
				&w, std::max<int64_t>(0, cold_until - now),
				now);
	}
	void step(bool requests = true)
	{
		now += kStep;
		check();
		bb_pace_set(&pace, bb_warmup_rate(&w, now), now);
		due = requests ? std::min(5.0, due + load * kStep / kSecond) :
				 0;
		while (due >= 1 && !bb_pace_wait_us(&pace, 0, now)) {
			bb_pace_spend(&pace, now);
			due--;
			if (!up) {
				bb_warmup_broke(&w, true, now);
				continue;
			}
			arrivals.push_back(now);
			if (is_cold())
				cold_arrivals.push_back(now);
			bb_warmup_served(&w, now);
		}
	}
	void run(int64_t time, bool requests = true)
	{
		for (int64_t end = now + time; now < end;)
			step(requests);
	}
	size_t arrived_since(int64_t from) const
	{
		return (size_t)std::count_if(arrivals.begin(), arrivals.end(),
					     [=](int64_t t) {
						     return t >= from;
					     });
	}
	// Most arrivals in any second, of those that came while it was cold and
	// after @from.
	size_t most(int64_t from = 0) const
	{
		size_t best = 0;

		for (size_t i = 0, j = 0; j < cold_arrivals.size(); j++) {
			while (cold_arrivals[i] < from ||
			       cold_arrivals[j] - cold_arrivals[i] >= kSecond)
				if (i++ == j)
					break;
			if (i <= j)
				best = std::max(best, j - i + 1);
		}
		return best;
	}
};

} // namespace

// Guards against a burst that passes the bound in some second, and against a
// cold backend server that is left unused, with offered rates just below and
// above the rate and the bound, and with narrow bounds.
TEST(Warmup, BoundHoldsInEverySecond)
{
	const struct bb_warmup_terms all[] = {
		kTerms,
		{ 3 * kSecond, 11, 12 },
		{ 3 * kSecond, 11, 11 },
		{ 3 * kSecond, 11, 0 },
		{ 3 * kSecond, 1, 2.5 },
		{ 3 * kSecond, 100, 158 },
		{ 3 * kSecond, 1, 1.6 },
	};

	for (auto &terms : all) {
		double bound = terms.second_max > 0 ? terms.second_max :
						      terms.rate_per_s * 1.5;

		for (double load :
		     { terms.rate_per_s * 0.95, terms.rate_per_s * 1.05,
		       bound * 0.95, bound * 1.05, bound * 20 }) {
			Server s;

			SCOPED_TRACE(std::to_string(terms.rate_per_s) + " " +
				     std::to_string(bound) + " " +
				     std::to_string(load));
			s.terms = terms;
			s.load = load;
			s.become_cold();
			s.start_node(s.terms.cold_us);
			s.run(s.terms.cold_us);
			EXPECT_LE(s.most(), (size_t)bound);
			EXPECT_GE((double)s.cold_arrivals.size() + 1,
				  std::min(load, bound / 1.5) * 3 * 0.6);
		}
	}
}

// Guards against a rate that is unlimited at once when the cold time ends, and
// against one that stays low.
TEST(Warmup, RateRisesInStepsAfterAColdStart)
{
	Server s;
	double before = 11;

	s.become_cold();
	s.start_node(3 * kSecond);
	EXPECT_EQ(11, bb_warmup_rate(&s.w, s.now));
	EXPECT_TRUE(bb_warmup_is_cold(&s.w, s.now + 3 * kSecond - 1));
	EXPECT_FALSE(bb_warmup_is_cold(&s.w, s.now + 3 * kSecond));
	for (int i = 0; i < 3; i++) {
		double rate = bb_warmup_rate(&s.w, s.now + 3 * kSecond +
							   i * 500 * kMs);

		EXPECT_EQ(2 * before, rate);
		before = rate;
	}
	EXPECT_LT(bb_warmup_rate(&s.w, s.now + 4500 * kMs), 0);
	s.run(6 * kSecond);
	EXPECT_EQ(0, s.checks);
	EXPECT_LE(s.most(), 24u);
	EXPECT_GE(s.arrived_since(s.now - kSecond), 58u);
}

// Guards against limits where the configuration sets none.
TEST(Warmup, ServiceWithoutARateIsNeverCold)
{
	Server s;

	s.terms = {};
	s.start_node(3 * kSecond);
	EXPECT_LT(bb_warmup_rate(&s.w, s.now), 0);
	bb_warmup_assume(&s.w, s.now);
	bb_warmup_broke(&s.w, true, s.now);
	EXPECT_LT(bb_warmup_rate(&s.w, s.now), 0);
	EXPECT_FALSE(bb_warmup_check_due(&s.w, s.now));
}

// Guards against a busy backend server that becomes cold again and goes on
// getting all requests after its registration told so, seconds late.
TEST(Warmup, BecomesColdAgainWhileBusy)
{
	Server s;
	int64_t known;

	s.start_node();
	s.run(2 * kSecond);
	EXPECT_EQ(1, s.checks);
	s.become_cold();
	s.run(1200 * kMs);
	// Written when it became cold.
	bb_warmup_registered(&s.w, s.until(3 * kSecond), s.now);
	known = s.now;
	s.run(4 * kSecond);
	EXPECT_LE(s.most(known), 24u);
	EXPECT_GT(s.most(known), 8u);
	EXPECT_EQ(1, s.checks);
}

// Guards against a list that repeats an old registration and makes its backend
// server cold once more, and against a late registration that overrides the
// answer of the backend server itself.
TEST(Warmup, OldRegistrationsChangeNothing)
{
	Server s;
	int64_t until;

	s.start_node();
	s.run(kSecond);
	until = s.until(200 * kMs);
	bb_warmup_registered(&s.w, until, s.now);
	s.run(2 * kSecond);
	bb_warmup_registered(&s.w, until, s.now);
	EXPECT_LT(bb_warmup_rate(&s.w, s.now), 0);

	s.become_cold();
	bb_warmup_assume(&s.w, s.now);
	s.run(500 * kMs);
	EXPECT_EQ(BB_WARMUP_ANSWERED, s.w.source);
	bb_warmup_registered(&s.w, s.until(3 * kSecond), s.now);
	EXPECT_LE(s.w.cold_until_us, s.cold_until + kMs);
	bb_warmup_registered(&s.w, 0, s.now);
	EXPECT_TRUE(bb_warmup_is_cold(&s.w, s.now));

	/* It told that it is not cold; another configuration has the same. */
	s.run(5 * kSecond);
	until = s.until(3 * kSecond);
	bb_warmup_registered(&s.w, until, s.now);
	bb_warmup_told(&s.w, 0, s.now, s.now);
	bb_warmup_registered(&s.w, until, s.now);
	EXPECT_FALSE(bb_warmup_is_cold(&s.w, s.now));
}

// Guards against the 24 backend servers of a zone that are overrun when its
// evacuation ends, because they became cold shortly before it, and against more
// than one health check of each.
TEST(Warmup, EvacuationAndTakeBackWith24ColdServers)
{
	std::mt19937 random(5);

	for (int64_t evacuated : { 200 * kMs, 1500 * kMs, 5 * kSecond }) {
		std::vector<Server> zone(24);

		for (auto &s : zone) {
			int64_t take_back;

			s.load = 40 + (double)(random() % 80);
			s.start_node();
			s.run(2 * kSecond);
			s.checks = 0;
			s.become_cold();
			s.run((int64_t)(random() % 50) * kMs);
			s.run(evacuated, false);
			take_back = s.now;
			bb_warmup_assume(&s.w, s.now);
			s.run(5 * kSecond);
			EXPECT_LE(s.most(take_back), 24u);
			EXPECT_EQ(1, s.checks);
			EXPECT_GE((double)s.arrived_since(s.now - kSecond),
				  s.load * 0.95);
			/* One that is no longer cold is used at once. */
			if (evacuated > s.terms.cold_us)
				EXPECT_GE((double)s.arrived_since(take_back),
					  s.load * 4.8);
		}
	}
}

// Guards against the limit that a restart of the node lifts, also many times in
// a row, whatever the registration that it finds says.
TEST(Warmup, RestartsOfTheNodeKeepTheBound)
{
	for (bool registered : { false, true }) {
		Server s;

		s.load = 200;
		s.start_node();
		s.run(2 * kSecond);
		s.become_cold();
		s.start_node(registered ? 3 * kSecond : 0);
		for (int i = 0; i < 12; i++) {
			s.run(230 * kMs);
			s.start_node(registered ? s.cold_until - s.now : 0);
		}
		EXPECT_LE(s.most(), 24u);
		EXPECT_GT(s.most(), 4u);
	}
}

// Guards against a cold time that never ends while the registry is down and
// health checks get no answer, and against one that is not known then.
TEST(Warmup, RegistryDown)
{
	Server s;

	// The check tells, the registration says nothing.
	s.become_cold();
	s.start_node();
	s.run(6 * kSecond);
	EXPECT_LE(s.most(), 24u);
	EXPECT_EQ(1, s.checks);
	EXPECT_GE(s.arrived_since(s.now - kSecond), 58u);

	// The check hangs as well.
	s = {};
	s.hangs = true;
	s.become_cold();
	s.start_node();
	s.run(8 * kSecond);
	EXPECT_LE(s.most(), 24u);
	EXPECT_GE(s.arrived_since(s.now - kSecond), 58u);
	EXPECT_LE(s.checks, 4);
}

// Guards against a backend server that crashes, starts again under the same id
// and gets all requests before its new registration is known.
TEST(Warmup, ServerStartsAgainUnderItsId)
{
	/* An open breaker keeps requests away, so that nothing but the checks
	 * tells when it is back. */
	for (bool breaker : { false, true })
		for (int64_t outage :
		     { 50 * kMs, 400 * kMs, 6 * kSecond, 14 * kSecond }) {
			Server s;

			s.start_node();
			s.run(2 * kSecond);
			s.up = false;
			s.run(50 * kMs);
			s.run(outage, !breaker);
			s.up = true;
			s.become_cold();
			s.run(kSecond);
			// Its registration comes with a new start.
			bb_warmup_started(&s.w, &s.terms, s.until(3 * kSecond),
					  s.now);
			s.run(kSecond);
			EXPECT_LE(s.most(), 24u) << outage;
			s.run(6 * kSecond);
			EXPECT_GE(s.arrived_since(s.now - kSecond), 58u)
				<< outage;
		}
}

// Guards against all the requests that a backend server gets before its first
// answer, when it comes back after it was away for longer than the cold time.
TEST(Warmup, RefusedConnectionHoldsUntilAnAnswer)
{
	for (bool by_check : { false, true }) {
		Server s;

		s.start_node();
		s.run(2 * kSecond);
		if (by_check) {
			bb_warmup_assume(&s.w, s.now);
			bb_warmup_check_sent(&s.w, s.now);
			bb_warmup_check_failed(&s.w, true, s.now);
		} else {
			bb_warmup_broke(&s.w, true, s.now);
		}
		EXPECT_EQ(11, bb_warmup_rate(&s.w, s.now + 60 * kSecond));
		s.now += 60 * kSecond;
		bb_warmup_served(&s.w, s.now);
		EXPECT_EQ(11, bb_warmup_rate(&s.w, s.now + 2900 * kMs));
		EXPECT_TRUE(bb_warmup_check_due(&s.w, s.now));
		EXPECT_LT(bb_warmup_rate(&s.w, s.now + 10 * kSecond), 0);
	}
}

// Guards against an old answer that ends what was assumed after its request was
// sent.
TEST(Warmup, AnswerToAnEarlierRequestChangesNothing)
{
	Server s;

	s.start_node();
	s.run(kSecond);
	bb_warmup_assume(&s.w, s.now);
	bb_warmup_told(&s.w, 0, s.now - 1, s.now + 10);
	EXPECT_TRUE(bb_warmup_is_cold(&s.w, s.now + 10));
	bb_warmup_told(&s.w, 0, s.now, s.now + 10);
	EXPECT_FALSE(bb_warmup_is_cold(&s.w, s.now + 10));
	EXPECT_LT(bb_warmup_rate(&s.w, s.now + 10), 0);
	// A value that cannot be meant does not keep it out of use.
	bb_warmup_told(&s.w, INT64_MAX, s.now, s.now);
	EXPECT_FALSE(bb_warmup_is_cold(&s.w, s.now + BB_WARMUP_MAX_US));
}

// Guards against health checks that cost a backend server more than they save:
// connections that break one by one while others go on, and many that break.
TEST(Warmup, ChecksAreFew)
{
	Server s;

	s.start_node();
	s.run(kSecond);
	EXPECT_EQ(1, s.checks);
	for (int i = 0; i < 100; i++) {
		bb_warmup_broke(&s.w, false, s.now);
		s.run(50 * kMs);
	}
	EXPECT_EQ(1, s.checks);
	for (int i = 0; i < 100; i++) {
		bb_warmup_broke(&s.w, false, s.now);
		bb_warmup_broke(&s.w, false, s.now);
		s.run(50 * kMs);
	}
	EXPECT_LE(s.checks, 1 + 6);
	EXPECT_GE(s.checks, 4);
}
