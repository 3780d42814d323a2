#include <gtest/gtest.h>

#include "baobabward/clock.h"
#include "baobabward/reserve.h"

namespace
{

// Requests of one account that @cut_off of @hosts hosts admit from their
// reserves within @seconds, when a request arrives at each host every 10 ms.
int admitted(size_t hosts, size_t cut_off, double rate, double burst,
	     int seconds)
{
	struct bb_account a = {};
	int nr = 0;

	a.name = (char *)"a";
	a.rate_per_s = rate;
	a.burst = burst;
	for (size_t h = 0; h < cut_off; h++) {
		struct bb_reserve *r = bb_reserve_new();

		for (int64_t now = 0; now < seconds * BB_US_PER_S; now += 10000)
			nr += bb_reserve_spend(r, &a, hosts, now);
		bb_reserve_delete(r);
	}
	return nr;
}

} // namespace

// Guards against nodes that are cut off from the holder of an account and that
// together admit more than the part of the rate that is held in reserve.
TEST(Reserve, PartsAddUpToAPartOfTheRate)
{
	// 50% of the rate, half of the burst, and one token per node at first.
	EXPECT_LE(admitted(22, 22, 34, 34, 5), 34 * 5 / 2 + 34 / 2 + 22);
	EXPECT_GE(admitted(22, 22, 34, 34, 5), 34 * 5 / 2);
	EXPECT_LE(admitted(22, 4, 34, 34, 5), 34 * 5 / 2 * 4 / 22 + 4 + 4);
}

// Guards against a node that refuses its first request because its part of the
// burst is less than a token.
TEST(Reserve, FirstRequestIsAdmitted)
{
	EXPECT_GE(admitted(580, 1, 1, 1, 1), 1);
	EXPECT_LE(admitted(580, 1, 1, 1, 1), 1);
}
