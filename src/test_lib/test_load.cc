// Replays load patterns through the modules that route, queue and retry
// requests, and checks the results of all requests.
#include <gtest/gtest.h>

#include <string>

#include "bench/load_replay.h"

namespace
{

struct load_pattern read(const std::string &name)
{
	struct load_pattern p;
	std::string path = "src/bench/patterns/" + name + ".conf";

	EXPECT_TRUE(load_pattern_read(&p, path.c_str())) << path;
	return p;
}

double share(uint32_t part, const struct load_result &r)
{
	return (double)part / MAX(1u, r.requests);
}

const char *const kPatterns[] = { "burst", "failing-spells", "hanging",
				  "shedding", "shedding-small" };
enum { LOOKUP, BOOKING };

} // namespace

// Guards against requests that are lost or answered twice. No method may serve
// more bookings within the target latency than the oracle, which would show a
// fault in the replay.
TEST(Load, EveryRequestEndsOnce)
{
	for (const char *name : kPatterns) {
		struct load_pattern p = read(name);
		struct load_report best = load_replay(&p, LOAD_ORACLE, 1);

		for (int m = 0; m < LOAD_METHOD_COUNT; m++) {
			struct load_report r =
				load_replay(&p, (enum load_method)m, 1);

			for (uint32_t k = 0; k < p.kinds_nr; k++) {
				const struct load_result &x = r.kinds[k];

				EXPECT_EQ(x.requests, best.kinds[k].requests);
				EXPECT_EQ(x.requests, x.in_target + x.late +
							      x.refused +
							      x.failed)
					<< name << " " << m;
			}
			EXPECT_LE(share(r.kinds[BOOKING].in_target,
					r.kinds[BOOKING]),
				  share(best.kinds[BOOKING].in_target,
					best.kinds[BOOKING]))
				<< name << " " << m;
		}
	}
}

// Guards against more retries arriving at backend servers than the retry budget
// of the fleet allows.
TEST(Load, RetriesStayWithinTheBudget)
{
	for (const char *name : kPatterns) {
		struct load_pattern p = read(name);
		struct load_report r = load_replay(&p, LOAD_MODULES, 2);
		uint32_t asked = 0;

		for (uint32_t k = 0; k < p.kinds_nr; k++)
			asked += r.kinds[k].requests;
		EXPECT_LE(r.repeat_arrivals,
			  asked * p.retry_percent / 100 +
				  MAX(p.retry_slack, p.servers))
			<< name;
	}
}

// Guards against a slack of the fleet that is used up once and then lies idle
// while a whole service sheds.
TEST(Load, SlackIsGrantedWhileAServiceSheds)
{
	struct load_pattern p = read("shedding-small");
	struct load_report now = load_replay(&p, LOAD_MODULES, 6);
	p.retry_window_us = 0;
	struct load_report before = load_replay(&p, LOAD_MODULES, 6);

	EXPECT_LT(now.kinds[BOOKING].refused, before.kinds[BOOKING].refused);
	EXPECT_LT(now.kinds[LOOKUP].refused, before.kinds[LOOKUP].refused);
	EXPECT_GT(now.kinds[BOOKING].in_target,
		  before.kinds[BOOKING].in_target);
}

// Guards against backend servers that attract requests while they fail, because
// they answer at once and seem idle. The breaker must avoid most of the errors.
TEST(Load, BreakerAvoidsFailingServers)
{
	struct load_pattern p = read("failing-spells");
	struct load_report on = load_replay(&p, LOAD_MODULES, 3);
	struct load_report off = load_replay(&p, LOAD_NO_BREAKER, 3);

	EXPECT_LT(on.kinds[BOOKING].failed * 2, off.kinds[BOOKING].failed);
	EXPECT_EQ(0u, on.kinds[BOOKING].refused);
}

// Guards against backend servers that hang and keep the requests of a burst
// until their deadlines.
TEST(Load, BreakerAvoidsHangingServers)
{
	struct load_pattern p = read("hanging");
	struct load_report on = load_replay(&p, LOAD_MODULES, 4);
	struct load_report off = load_replay(&p, LOAD_NO_BREAKER, 4);

	EXPECT_LT(on.kinds[BOOKING].failed, off.kinds[BOOKING].failed);
	EXPECT_GT(on.kinds[BOOKING].in_target, off.kinds[BOOKING].in_target);
}

// Guards against an overload in which requests of high priority are refused for
// the sake of requests of low priority, or callers wait long for a refusal.
TEST(Load, OverloadRefusesLowPrioritySoon)
{
	struct load_pattern p = read("burst");
	struct load_report r = load_replay(&p, LOAD_MODULES, 5);
	const struct load_result &lookup = r.kinds[LOOKUP];
	const struct load_result &booking = r.kinds[BOOKING];

	ASSERT_GT(lookup.refused, 0u);
	EXPECT_LT(share(booking.refused, booking),
		  share(lookup.refused, lookup));
	for (uint32_t k = 0; k < p.kinds_nr; k++)
		EXPECT_LT(r.kinds[k].refusal_us / MAX(1u, r.kinds[k].refused),
			  p.kinds[k].target_us / 2)
			<< p.kinds[k].name;
}
