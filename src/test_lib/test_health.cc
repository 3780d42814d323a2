// Tests of the detection, ejection and readmission of backend servers, on the
// model of a pool in bench/health_model.h, and of the statistics behind them.
#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "bench/health_model.h"
#include "libhealth/evidence.h"

namespace
{

struct Pool {
	std::unique_ptr<model> m = std::make_unique<model>();
	std::vector<int> ejections;
	std::vector<bool> out;
	// States that backend server 0 has had.
	bool states[BB_HEALTH_STATE_COUNT] = {};

	Pool(size_t nr, double rate, uint32_t seed, bool observe_only = false)
	    : ejections(nr), out(nr)
	{
		model_init_as(m.get(), nr, rate, seed, observe_only);
	}
	~Pool()
	{
		model_finish(m.get());
	}
	void step()
	{
		model_step(m.get());
		states[state()] = true;
		for (size_t i = 0; i < m->nr; i++) {
			bool now = model_ejected(m.get(), i);

			ejections[i] += now && !out[i];
			out[i] = now;
			// A backend server is ejected only with a permit.
			ASSERT_TRUE(!now || m->nodes[i].permit);
		}
	}
	void run(double s)
	{
		int64_t end = m->now_us + (int64_t)(s * 1e6);

		while (m->now_us < end)
			step();
	}
	void begin(model_fault f)
	{
		m->fault = f;
		m->fault_us = m->now_us;
		m->fault_end_us = INT64_MAX;
	}
	// Runs until backend server 0 is in the state, for at most that time.
	bool reach(enum bb_health_state s, double seconds)
	{
		int64_t end = m->now_us + (int64_t)(seconds * 1e6);

		while (state() != s && m->now_us < end)
			step();
		return state() == s;
	}
	bb_health *health()
	{
		return m->nodes[0].health;
	}
	enum bb_health_state state()
	{
		return bb_health_state(health(), 0, m->now_us);
	}
	double weight()
	{
		return bb_health_weight(health(), 0, m->now_us);
	}
	std::string reason()
	{
		return bb_health_reason(health(), 0);
	}
	int other_ejections()
	{
		int sum = 0;

		for (size_t i = 1; i < ejections.size(); i++)
			sum += ejections[i];
		return sum;
	}
	void set_automation(bool on)
	{
		m->config.automation = on;
		model_set_config(m.get());
	}
	size_t withheld_actions()
	{
		size_t nr;

		bb_health_withheld_actions(health(), &nr);
		return nr;
	}
};

} // namespace

// Guards against a kind of failure that is not detected, that leads to the
// ejection of another backend server, or that is reported without figures.
TEST(Health, DetectsEachFailure)
{
	for (size_t nr : { 5, 15 })
		for (int f = FAULT_SLOW_3; f <= FAULT_FLAPPING; f++) {
			Pool p(nr, 5, 7);

			SCOPED_TRACE(model_fault_string[f]);
			p.run(40);
			p.begin((model_fault)f);
			EXPECT_TRUE(p.reach(BB_HEALTH_EJECTED, 40));
			EXPECT_TRUE(p.states[BB_HEALTH_SUSPECT]);
			EXPECT_EQ(0, p.other_ejections());
			EXPECT_EQ(0, p.weight());
			EXPECT_NE(std::string::npos, p.reason().find(" of "))
				<< p.reason();
		}
}

// Guards against a backend server that has started again and stays ejected for
// what its former process did, and against one that is never ejected because it
// starts again and again.
TEST(Health, StartUnderTheSameNameCountsAsNew)
{
	Pool p(5, 5, 7);

	p.run(40);
	p.begin(FAULT_DEAD);
	ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 40));
	p.m->backends[0].started_ms = 1;
	model_set_config(p.m.get());
	EXPECT_EQ(BB_HEALTH_OK, p.state());
	EXPECT_FALSE(p.m->nodes[0].permit);
	EXPECT_EQ(1, p.weight());
	ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 25));
	p.m->backends[0].started_ms = 2;
	model_set_config(p.m.get());
	EXPECT_EQ(BB_HEALTH_EJECTED, p.state());
}

// Guards against ejections for causes outside a single backend server: one
// account's requests, the pool, a zone, load shedding, dead connections.
TEST(Health, NoEjectionForOtherCauses)
{
	const model_fault causes[] = { FAULT_NONE,	FAULT_ACCOUNT,
				       FAULT_POOL_SLOW, FAULT_POOL_ERRORS,
				       FAULT_ZONE_SLOW, FAULT_SHEDDING,
				       FAULT_SILENT };

	for (size_t nr : { 5, 15 })
		for (model_fault f : causes) {
			Pool p(nr, 5, 11);

			SCOPED_TRACE(model_fault_string[f]);
			p.run(40);
			p.begin(f);
			p.run(120);
			EXPECT_EQ(0, p.other_ejections() + p.ejections[0]);
			if (f == FAULT_SHEDDING) {
				EXPECT_TRUE(p.states[BB_HEALTH_BACKING_OFF]);
			} else if (f == FAULT_SILENT) {
				EXPECT_TRUE(p.states[BB_HEALTH_SUSPECT]);
				EXPECT_EQ(BB_HEALTH_OK, p.state());
			}
		}
}

// Guards against an ejection because many connections die at once, and against
// a backend server whose failures are discounted again and again because its
// health endpoint answers.
TEST(Health, DeadConnectionsAreDiscountedOnce)
{
	Pool p(5, 40, 11);

	p.run(20);
	for (int again = 0; again < 2; again++) {
		p.begin(FAULT_SILENT);
		p.run(again ? 5 : 10);
		EXPECT_EQ(again, p.ejections[0]);
	}
	EXPECT_EQ(0, p.other_ejections());
}

// Guards against a failure that is detected only when requests arrive, and
// against too many probes to an idle backend server.
TEST(Health, ProbesDetectFailureWithoutTraffic)
{
	Pool p(5, 0, 3);

	p.run(100);
	// 5 backend servers, each probed every 5 s; a probe is 25 ms of work.
	EXPECT_NEAR(5 * 20, p.m->probes, 10);
	p.begin(FAULT_DEAD);
	EXPECT_TRUE(p.reach(BB_HEALTH_EJECTED, 20));
	EXPECT_EQ(0, p.other_ejections());
}

// Guards against a flood of probes or of requests for summaries while a
// suspicion lasts.
TEST(Health, LastingSuspicionStaysWithinTheProbeBudget)
{
	Pool p(15, 20, 3);

	p.m->permits_max = 0;
	p.run(20);
	p.begin(FAULT_ERRORS_30);
	ASSERT_TRUE(p.reach(BB_HEALTH_SUSPECT, 20));
	unsigned int probes = p.m->probes, asked = p.m->summary_requests;

	p.run(30);
	EXPECT_LE(p.m->probes - probes, 33u + 4u);
	probes = p.m->probes;
	p.run(100);
	EXPECT_LE(p.m->probes - probes, 20u + 4u);
	// 14 other nodes ask once in 10 s; this one asks up to 8 members per
	// second for 30 s, then one per second.
	EXPECT_LE(p.m->summary_requests - asked,
		  180u + 14u * 13u + 30u * 8u + 100u);
	EXPECT_EQ(BB_HEALTH_SUSPECT, p.state());
	EXPECT_TRUE(bb_health_admit(p.health(), 0, false, p.m->now_us));
}

// Guards against a slow or failing backend server with few requests that is not
// detected within a minute, and against more probes than their budget allows.
TEST(Health, DetectsFailuresWithFewRequests)
{
	int slow = 0, errors = 0;

	for (uint32_t seed = 1; seed <= 20; seed++)
		for (model_fault f : { FAULT_SLOW_3, FAULT_ERRORS_30 }) {
			Pool p(10, 0.5, seed);

			SCOPED_TRACE(seed);
			p.run(40);
			p.begin(f);
			unsigned int probes = p.m->probes;
			int64_t start = p.m->now_us;
			bool found = p.reach(BB_HEALTH_EJECTED, 60);

			(f == FAULT_SLOW_3 ? slow : errors) += found;
			EXPECT_EQ(0, p.other_ejections());
			EXPECT_LE(p.m->probes - probes,
				  10 * ((p.m->now_us - start) / 1000000 + 4));
		}
	EXPECT_EQ(20, slow);
	EXPECT_GE(errors, 15);
}

// Guards against an ejection, with few requests, because the health endpoint is
// slow while requests are not, or because of the warm-up after a restart.
TEST(Health, SlowProbesAloneDoNotEject)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		Pool slow(5, 0.5, seed), cold(5, 0.5, seed);
		bb_health_outcome o = {};

		SCOPED_TRACE(seed);
		o.class_id = BB_HEALTH_CLASS_PROBE;
		o.account = BB_HEALTH_NO_ACCOUNT;
		o.latency_us = 200 * BB_US_PER_MS;
		o.new_connection = true;
		slow.run(60);
		for (int i = 0; i < 60; i++) {
			bb_health_observe(slow.health(), &o, slow.m->now_us);
			slow.run(1);
		}
		EXPECT_TRUE(slow.states[BB_HEALTH_SUSPECT]);
		EXPECT_EQ(0, slow.ejections[0]);
		cold.run(60);
		cold.begin(FAULT_COLD_START);
		cold.m->fault_us -= BB_US_PER_S;
		cold.run(60);
		EXPECT_EQ(0, cold.ejections[0]);
	}
}

// Guards against ejections for latency without summaries from the pool, and
// against failures that never lead to an ejection while the pool cannot be
// reached.
TEST(Health, WithoutPoolOnlyFailuresEject)
{
	Pool slow(5, 20, 3), dead(5, 20, 3);

	slow.m->connected = dead.m->connected = false;
	slow.begin(FAULT_SLOW_5);
	slow.run(60);
	EXPECT_EQ(0, slow.ejections[0]);
	dead.run(10);
	dead.begin(FAULT_DEAD);
	EXPECT_TRUE(dead.reach(BB_HEALTH_EJECTED, 10));
}

// Guards against ejections, or permits requested for them, with observe_only,
// where only the breaker is to keep requests from failing backend servers.
TEST(Health, ObserveOnlyEjectsNothing)
{
	Pool p(5, 20, 3, true);

	p.run(10);
	p.begin(FAULT_DEAD);
	p.run(60);
	EXPECT_TRUE(p.states[BB_HEALTH_SUSPECT]);
	EXPECT_EQ(0, p.ejections[0]);
	EXPECT_FALSE(p.m->nodes[0].permit);
}

// Guards against full load right after an ejection, and against a hold-off
// that does not double for a backend server that keeps failing.
TEST(Health, TrialsHoldOffAndRamp)
{
	Pool p(5, 20, 5);

	p.run(20);
	p.begin(FAULT_DEAD);
	for (int64_t hold : { 5, 10, 20, 40 }) {
		ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 50));
		EXPECT_NEAR((double)hold,
			    (double)bb_health_avoid_for_us(p.health(), 0,
							   p.m->now_us) /
				    1e6,
			    0.2);
		EXPECT_FALSE(bb_health_admit(p.health(), 0, true, p.m->now_us));
		ASSERT_TRUE(p.reach(BB_HEALTH_TRIAL, (double)hold + 1));
		EXPECT_FALSE(
			bb_health_admit(p.health(), 0, false, p.m->now_us));
	}
	p.m->fault_end_us = p.m->now_us;
	ASSERT_TRUE(p.reach(BB_HEALTH_RAMPING, 100));
	EXPECT_FALSE(p.m->nodes[0].permit);
	double last = 0;

	for (int i = 0; i < 9; i++) {
		EXPECT_GT(p.weight(), last);
		EXPECT_LT(p.weight(), 1);
		last = p.weight();
		p.run(1);
	}
	ASSERT_TRUE(p.reach(BB_HEALTH_OK, 3));
	EXPECT_EQ(1, p.weight());
	EXPECT_EQ(0, p.other_ejections());
}

// Guards against a recovered backend server that stays ejected, with a hold-off
// that grows each time, because one of its trials is slowed by its busy host.
TEST(Health, RecoveredIsReadmittedUnderSchedulingNoise)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		Pool p(5, 20, seed);

		SCOPED_TRACE(seed);
		p.m->median_us = 300;
		p.m->noise_share = 0.05;
		p.run(20);
		p.begin(FAULT_DEAD);
		ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 5));
		p.m->fault_end_us = p.m->now_us;
		ASSERT_TRUE(p.reach(BB_HEALTH_RAMPING, 15));
		EXPECT_EQ(1, p.ejections[0]);
		EXPECT_EQ(0, p.other_ejections());
	}
}

// Guards against trials that fail because of a single slow response: the
// hold-off would double to 10 s although further trials are fast.
TEST(Health, OneSlowTrialNeedsMoreSuccesses)
{
	Pool p(5, 20, 5);
	bb_health_outcome o = {};

	p.run(20);
	p.begin(FAULT_DEAD);
	ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 5));
	p.m->fault_end_us = p.m->now_us;
	ASSERT_TRUE(p.reach(BB_HEALTH_TRIAL, 6));
	o.class_id = 1;
	o.latency_us = 400 * BB_US_PER_MS;
	bb_health_observe(p.health(), &o, p.m->now_us);
	EXPECT_EQ(BB_HEALTH_TRIAL, p.state());
	o.latency_us = 15 * BB_US_PER_MS;
	// Five successes readmit, but after a slow trial ten are needed.
	for (int i = 0; i < 9; i++) {
		bb_health_observe(p.health(), &o, p.m->now_us);
		EXPECT_EQ(BB_HEALTH_TRIAL, p.state()) << i;
	}
	bb_health_observe(p.health(), &o, p.m->now_us);
	EXPECT_EQ(BB_HEALTH_RAMPING, p.state());
}

// Guards against the readmission of a backend server that is still slow, and
// against trials that never end.
TEST(Health, StillSlowFailsItsTrials)
{
	int back = 0;

	for (uint32_t seed = 1; seed <= 20; seed++) {
		Pool p(5, 20, seed);

		SCOPED_TRACE(seed);
		p.run(20);
		p.begin(FAULT_SLOW_5);
		ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 20));
		ASSERT_TRUE(p.reach(BB_HEALTH_TRIAL, 6));
		// One trial at a time, each of up to 0.5 s.
		ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 15));
		back += p.states[BB_HEALTH_RAMPING];
		EXPECT_EQ(0, p.other_ejections());
	}
	EXPECT_LE(back, 1);
}

// Guards against trials that fail because the whole pool has become slow since
// the ejection.
TEST(Health, TrialsInASlowPoolDoNotFail)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		Pool p(5, 20, seed);

		SCOPED_TRACE(seed);
		p.run(20);
		p.begin(FAULT_DEAD);
		ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 5));
		p.begin(FAULT_POOL_SLOW);
		ASSERT_TRUE(p.reach(BB_HEALTH_RAMPING, 30));
		EXPECT_EQ(1, p.ejections[0]);
		EXPECT_EQ(0, p.other_ejections());
	}
}

// Guards against a suspicion or an ejection for a delay of a few milliseconds,
// which is less than the use of another backend server costs, and against a
// lower bound of the latency limit that hides a backend server that is much
// slower than a fast pool.
TEST(Health, LatencyLimitOfFastPools)
{
	for (bool one : { false, true }) {
		Pool p(5, 40, 9);

		p.m->median_us = 300;
		p.m->noise_share = 0.05;
		p.m->noise_on_one_host = one;
		p.run(300);
		EXPECT_EQ(0, p.other_ejections() + p.ejections[0]);
	}
	Pool p(5, 40, 9);

	p.m->median_us = 2500;
	p.run(20);
	p.begin(FAULT_SLOW_5);
	EXPECT_TRUE(p.reach(BB_HEALTH_EJECTED, 5));
	EXPECT_EQ(0, p.other_ejections());
}

// Guards against an ejection without a permit, and against one that continues
// after its permit expired.
TEST(Health, PermitIsNeededThroughout)
{
	Pool p(5, 20, 5);

	p.m->permits_max = 0;
	p.run(20);
	p.begin(FAULT_DEAD);
	p.run(20);
	EXPECT_EQ(BB_HEALTH_SUSPECT, p.state());
	p.m->permits_max = 1;
	ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 1));
	p.m->permits_max = 0;
	p.m->nodes[0].permit = false;
	EXPECT_TRUE(bb_health_admit(p.health(), 0, false, p.m->now_us));
	EXPECT_EQ(BB_HEALTH_RAMPING, p.state());
	EXPECT_GT(p.weight(), 0);
}

// Guards against full load on a backend server that has just started, and
// against its ejection for a slow warm-up.
TEST(Health, ColdStartRamps)
{
	Pool p(5, 20, 5);

	p.run(20);
	p.m->backends[0].state = BB_BACKEND_OUT;
	model_set_config(p.m.get());
	p.run(5);
	p.m->backends[0].state = BB_BACKEND_IN;
	model_set_config(p.m.get());
	EXPECT_EQ(BB_HEALTH_RAMPING, p.state());
	EXPECT_NEAR(0.2, p.weight(), 0.01);
	// Slow while it warms up, from 0.5 s after the start.
	p.begin(FAULT_COLD_START);
	p.m->fault_us -= BB_US_PER_S;
	p.run(60);
	EXPECT_EQ(BB_HEALTH_OK, p.state());
	EXPECT_EQ(0, p.ejections[0]);
}

// Guards against an ejection for the warm-up of a backend server that restarted
// so quickly that no connection was refused.
TEST(Health, ColdStartWithoutRefusedConnection)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		Pool p(5, 5, seed);

		SCOPED_TRACE(seed);
		p.run(40);
		p.begin(FAULT_COLD_START);
		p.m->fault_us -= BB_US_PER_S;
		p.run(60);
		EXPECT_EQ(0, p.ejections[0] + p.other_ejections());
	}
}

// Guards against a slow backend server that is never ejected because it closes
// its connections, as a restart does.
TEST(Health, ClosedConnectionsHideSlownessForABoundedTime)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		Pool p(5, 5, seed);

		SCOPED_TRACE(seed);
		p.run(40);
		p.begin(FAULT_SLOW_5);
		for (int i = 0; i < 25 && p.state() != BB_HEALTH_EJECTED; i++) {
			p.m->nodes[0].connections_nr = 0;
			p.run(1);
		}
		EXPECT_EQ(1, p.ejections[0]);
		EXPECT_EQ(0, p.other_ejections());
	}
}

// Guards against changes of state while automation is off, against withheld
// actions that are not listed, and against a list that is not cleared when
// automation is turned on.
TEST(Health, AutomationOffWithholdsActions)
{
	Pool p(5, 20, 5);

	p.run(20);
	p.set_automation(false);
	p.begin(FAULT_DEAD);
	p.run(30);
	EXPECT_EQ(0, p.ejections[0]);
	EXPECT_EQ(1, p.weight());
	ASSERT_EQ(1u, p.withheld_actions());
	size_t nr;
	const bb_health_withheld_action *w =
		bb_health_withheld_actions(p.health(), &nr);

	EXPECT_EQ(BB_HEALTH_EJECTED, w->state);
	EXPECT_NE(nullptr, strstr(w->reason, "failed"));
	int64_t at = w->at_us;

	// The entry follows the name when rows of the table change places.
	std::swap(p.m->backends[0], p.m->backends[4]);
	model_set_config(p.m.get());
	w = bb_health_withheld_actions(p.health(), &nr);
	ASSERT_EQ(1u, nr);
	EXPECT_TRUE(w->backend == 4 && w->at_us == at);
	std::swap(p.m->backends[0], p.m->backends[4]);
	p.set_automation(true);
	EXPECT_EQ(0u, p.withheld_actions());
	ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 5));
}

// Guards against a readmission or the progress of a ramp while automation is
// off, and against a frozen ejection that continues without a permit, so that
// less than the floor could remain.
TEST(Health, AutomationOffFreezesEjectionAndRamp)
{
	Pool p(5, 20, 5);

	p.run(20);
	p.begin(FAULT_DEAD);
	ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 5));
	p.m->fault_end_us = p.m->now_us;
	p.set_automation(false);
	p.run(60);
	EXPECT_EQ(BB_HEALTH_EJECTED, p.state());
	EXPECT_EQ(1u, p.withheld_actions());
	p.set_automation(true);
	ASSERT_TRUE(p.reach(BB_HEALTH_RAMPING, 20));
	p.run(4);
	double weight = p.weight();

	p.set_automation(false);
	p.run(60);
	EXPECT_DOUBLE_EQ(weight, p.weight());
	p.set_automation(true);
	EXPECT_DOUBLE_EQ(weight, p.weight());
	p.run(7);
	EXPECT_EQ(1, p.weight());

	p.begin(FAULT_DEAD);
	ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 5));
	p.set_automation(false);
	p.m->permits_max = 0;
	p.m->nodes[0].permit = false;
	// Takes effect at once, not at the next tick.
	EXPECT_TRUE(bb_health_admit(p.health(), 0, false, p.m->now_us));
	p.run(1);
	EXPECT_LT(p.state(), BB_HEALTH_EJECTED);
	EXPECT_EQ(1, p.weight());
}

// Guards against state that is lost or given to another backend server when
// rows of the table change places, and against permits that are kept for
// removed ones.
TEST(Health, StateFollowsTheNameThroughConfigurations)
{
	Pool p(5, 20, 5);

	p.run(20);
	p.begin(FAULT_DEAD);
	ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 5));
	std::swap(p.m->backends[0], p.m->backends[4]);
	model_set_config(p.m.get());
	EXPECT_EQ(BB_HEALTH_EJECTED,
		  bb_health_state(p.health(), 4, p.m->now_us));
	EXPECT_EQ(BB_HEALTH_OK, bb_health_state(p.health(), 0, p.m->now_us));
	p.m->backends[4].host = 3;
	model_set_config(p.m.get());
	EXPECT_FALSE(p.m->nodes[0].permit);
}

// Guards against a host, while the platform removes it, that keeps a permit
// which another backend server needs, or whose backend server is ejected, and
// against missing detection when the host stays after all.
TEST(Health, LeavingHostReturnsItsPermit)
{
	Pool p(5, 20, 5);

	p.run(20);
	p.begin(FAULT_DEAD);
	ASSERT_TRUE(p.reach(BB_HEALTH_EJECTED, 5));
	bb_health_set_leaving(p.health(), true, p.m->now_us);
	EXPECT_FALSE(p.m->nodes[0].permit);
	EXPECT_EQ(BB_HEALTH_OK, p.state());
	model_set_config(p.m.get());
	p.run(20);
	EXPECT_EQ(BB_HEALTH_OK, p.state());
	EXPECT_FALSE(p.m->nodes[0].permit);
	bb_health_set_leaving(p.health(), false, p.m->now_us);
	EXPECT_TRUE(p.reach(BB_HEALTH_EJECTED, 20));
}

// Guards against a health endpoint whose answers alone eject a backend server
// or end a suspicion.
TEST(Health, HintOnlyCausesAProbe)
{
	Pool p(5, 20, 5);

	p.run(20);
	unsigned int probes = p.m->probes;

	bb_health_hint(p.health(), 0, false, p.m->now_us);
	p.run(10);
	EXPECT_GT(p.m->probes, probes);
	EXPECT_EQ(0, p.ejections[0]);
	p.begin(FAULT_ERRORS_30);
	bb_health_hint(p.health(), 0, true, p.m->now_us);
	EXPECT_TRUE(p.reach(BB_HEALTH_EJECTED, 20));
}

namespace
{

// Computes the finding directly from the list of all samples, latest first.
struct NaiveEvidence {
	std::deque<bb_evidence_sample> all;

	static double tail(unsigned int bad, unsigned int nr, double share)
	{
		double sum = 0;

		for (unsigned int i = bad; i <= nr; i++) {
			double term = 1;

			for (unsigned int j = 1; j <= i; j++)
				term *= (double)(nr - i + j) / j * share;
			sum += term * pow(1 - share, nr - i);
		}
		return sum;
	}
	static bool failed(const bb_evidence_sample &s)
	{
		return s.kind != BB_OUTCOME_OK && s.kind != BB_OUTCOME_SHED &&
		       s.kind != BB_OUTCOME_CLIENT_ERROR;
	}
	bb_evidence_level level(int64_t since, double limit, double expected,
				bool alone) const
	{
		std::vector<std::pair<bool, uint32_t>> t;
		int best = BB_EVIDENCE_NONE;

		for (size_t i = 0; i < all.size() && i < 64; i++) {
			const bb_evidence_sample &s = all[i];

			if (s.at_us < since || s.kind == BB_OUTCOME_SHED ||
			    (limit > 0 && failed(s) &&
			     s.kind != BB_OUTCOME_TIMEOUT))
				continue;
			t.push_back(
				{ limit > 0 ? s.latency_us > limit : failed(s),
				  s.account });
		}
		for (size_t n : { 4, 6, 8, 16, 32, 64 }) {
			unsigned int bad = 0, recent = 0, per[8] = {};
			unsigned int rest = 0, worst = 0;

			n = MIN(n, t.size());
			for (size_t i = 0; i < n; i++) {
				bad += t[i].first;
				recent += i < 8 && t[i].first;
				per[t[i].second] += t[i].first;
			}
			// Among equals, the account that failed latest.
			worst = 8;
			for (size_t i = 0; i < n; i++)
				if (t[i].first &&
				    (worst == 8 ||
				     per[t[i].second] > per[worst]))
					worst = t[i].second;
			for (size_t i = 0; i < n; i++)
				rest += t[i].second != worst;
			if (bad < 2 || !recent || tail(bad, n, expected) > 1e-3)
				continue;
			unsigned int others = bad - per[worst];
			double all_tail = tail(bad, n, expected);
			bool strong = (alone && !rest && all_tail < 1e-8) ||
				      (all_tail < 1e-6 && others >= 2 &&
				       tail(others, rest, expected) < 1e-2);

			best = MAX(best, strong ? BB_EVIDENCE_STRONG :
						  BB_EVIDENCE_WEAK);
		}
		return (bb_evidence_level)best;
	}
};

} // namespace

// Guards against a ring buffer or a statistic that differs from its definition.
TEST(Health, EvidenceAgreesWithNaiveComputation)
{
	GRand *rand = g_rand_new_with_seed(1);
	int seen[3] = {};

	for (int run = 0; run < 300; run++) {
		bb_evidence e = {}, classes[3] = {};
		NaiveEvidence naive;
		bb_evidence_reference r = {};
		double share = g_rand_double(rand) * g_rand_double(rand);
		int accounts = g_rand_int_range(rand, 1, 8);
		int64_t now = 0;

		r.members = g_rand_int_range(rand, 0, 4);
		r.error_share = g_rand_double(rand) * 0.1;
		r.latency_known = g_rand_boolean(rand);
		r.median_us = 20000;
		r.spread_us = 5000;
		for (int i = 0; i < 150; i++) {
			bool bad = g_rand_double(rand) < share;
			bb_health_outcome o = {};

			now += g_rand_int_range(rand, 0, 2000000);
			o.account = g_rand_int_range(rand, 0, accounts);
			o.kind = (bb_outcome_kind)g_rand_int_range(
				rand, 0, BB_OUTCOME_KIND_COUNT);
			if (!bad)
				o.kind = BB_OUTCOME_OK;
			o.latency_us = bad ? 50000 : 20000;
			o.new_connection = true;
			bb_evidence_add(&e, &o, now);
			naive.all.push_front(e.samples[(e.next + 63) % 64]);
			bb_evidence_result out;
			int64_t since = now - BB_EVIDENCE_WINDOW_US;
			double expected =
				r.members ? 0.02 + 1.5 * r.error_share : 0.05;
			int want =
				naive.level(since, 0, expected, r.members >= 2);

			if (r.latency_known && want < BB_EVIDENCE_STRONG)
				want = MAX(want, naive.level(since, 40000, 0.1,
							     r.members >= 2));
			bb_evidence_judge(&e, &r, since, INT64_MIN, &out);
			ASSERT_EQ(want, out.level) << run << " " << i;
			seen[want]++;
			if (i >= BB_EVIDENCE_SIZE)
				continue;
			// The same outcomes, split into classes and merged.
			const bb_evidence_reference refs[] = { r, r, r };

			bb_evidence_add(&classes[i % 3], &o, now);
			bb_evidence_judge_merged(classes, refs, 3, since,
						 INT64_MIN, &out);
			ASSERT_EQ(want, out.level) << run << " " << i;
		}
	}
	g_rand_free(rand);
	for (int n : seen)
		EXPECT_GT(n, 500);
}
