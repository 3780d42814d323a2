// Tests of the directory of backend servers: entries that are removed, expire
// in an outage of the registry, or compete for an id or an address.
#include <glib.h>
#include <gtest/gtest.h>
#include <cstring>
#include <string>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/directory.h"

namespace
{

const int64_t kSecond = BB_US_PER_S;

struct Directory {
	int64_t now = 100 * kSecond;
	struct bb_directory *d;

	explicit Directory(int64_t heartbeat_us = 0)
	{
		struct bb_directory_options o = {};

		o.heartbeat_us = heartbeat_us;

		o.self_address = "10.0.0.1";
		o.self_zone = "za";
		d = bb_directory_new(&o);
		bb_directory_tick(d, now);
	}
	~Directory()
	{
		bb_directory_delete(d);
	}
	void put(const char *id, const char *address, int64_t started_ms = 1,
		 bool leaving = false, const char *service = "orders")
	{
		struct bb_directory_entry e = {};

		e.id = (char *)id;
		e.service = (char *)service;
		e.zone = (char *)"zb";
		e.address = (char *)address;
		e.slots = 5;
		e.leaving = leaving;
		e.started_ms = started_ms;
		bb_directory_put(d, &e, now);
	}
	// Ids of the backend servers after a tick; '-' marks leaving ones.
	std::string names()
	{
		std::string s;
		size_t nr;

		bb_directory_tick(d, now);
		auto *e = bb_directory_entries(d, nullptr, &nr);
		for (size_t i = 0; i < nr; i++)
			s += std::string(i ? " " : "") + e[i]->id +
			     (e[i]->leaving ? "-" : "");
		g_free(e);
		return s;
	}
	// The registry does not answer for some time, after which "a" is missing.
	void lose_a_in_outage(int64_t time_us)
	{
		put("a", "10.0.0.2");
		bb_directory_registry_down(d, now);
		now += time_us;
		names();
		bb_directory_registry_up(d, now);
		bb_directory_remove(d, "a", now);
	}
	std::string hosts()
	{
		std::string s;
		size_t nr;

		bb_directory_tick(d, now);
		auto *h = bb_directory_hosts(d, &nr);
		for (size_t i = 0; i < nr; i++)
			s += std::string(i ? " " : "") + h[i].address;
		g_free(h);
		return s;
	}
};

} // namespace

// Guards against requests to a backend server whose entry was removed, and
// against dropping its host while callers on that host still need its node.
TEST(Directory, EntryIsRemovedAtOnceAndItsHostLater)
{
	Directory x;

	x.put("a", "10.0.0.2");
	x.put("b", "10.0.0.3", 1, true);
	EXPECT_EQ("a b-", x.names());
	EXPECT_EQ("10.0.0.1 10.0.0.2 10.0.0.3", x.hosts());
	bb_directory_remove(x.d, "a", x.now);
	EXPECT_EQ("b-", x.names());
	x.now += 59 * kSecond;
	EXPECT_EQ("10.0.0.1 10.0.0.2 10.0.0.3", x.hosts());
	x.now += 2 * kSecond;
	EXPECT_EQ("10.0.0.1 10.0.0.3", x.hosts());
}

// Guards against dropping backend servers whose entries expired while the
// registry was down, and against keeping those that did not register again.
TEST(Directory, EntriesThatExpiredInAnOutageMayReturn)
{
	Directory x;

	x.put("a", "10.0.0.2");
	x.put("b", "10.0.0.3");
	bb_directory_registry_down(x.d, x.now);
	x.now += 600 * kSecond;
	EXPECT_EQ("a b", x.names());
	EXPECT_EQ("10.0.0.1 10.0.0.2 10.0.0.3", x.hosts());
	bb_directory_registry_up(x.d, x.now);
	bb_directory_begin_list(x.d);
	bb_directory_end_list(x.d, x.now);
	EXPECT_EQ("a b", x.names());
	x.now += 2 * kSecond;
	x.put("a", "10.0.0.2");
	EXPECT_EQ("a b", x.names());
	x.now += kSecond;
	EXPECT_EQ("a", x.names());
	// Without an outage, a missing entry is dropped at once.
	bb_directory_begin_list(x.d);
	bb_directory_end_list(x.d, x.now);
	EXPECT_EQ("", x.names());
}

// Guards against requests to a backend server whose entry was removed after an
// outage that was too short for an entry to expire, and against dropping those
// that may have expired: in one long outage, or in short ones between which no
// heartbeat need have arrived.
TEST(Directory, OnlyEntriesThatMayHaveExpiredAreKept)
{
	const int64_t heartbeat = 3 * kSecond / 2;
	Directory x(heartbeat);

	x.lose_a_in_outage(kSecond / 4);
	EXPECT_EQ("", x.names());
	x.now += 10 * kSecond;
	x.lose_a_in_outage(2 * heartbeat - 1);
	EXPECT_EQ("", x.names());
	x.now += 10 * kSecond;
	x.lose_a_in_outage(2 * heartbeat);
	EXPECT_EQ("a", x.names());
	// A short outage does not end the time to register again.
	bb_directory_registry_down(x.d, x.now);
	x.now += kSecond / 4;
	bb_directory_registry_up(x.d, x.now);
	EXPECT_EQ("a", x.names());
	x.now += 2 * kSecond;
	EXPECT_EQ("", x.names());
	x.now += 10 * kSecond;
	x.lose_a_in_outage(heartbeat);
	EXPECT_EQ("", x.names());
	x.now += heartbeat - 1;
	x.lose_a_in_outage(heartbeat);
	EXPECT_EQ("a", x.names());
}

// Guards against a delayed write of a former process that replaces the entry of
// the present one, and against a restart with the same id that has no effect.
TEST(Directory, LateWriteOfTheFormerProcessHasNoEffect)
{
	Directory x;

	x.put("a", "10.0.0.2", 1000);
	EXPECT_EQ("a", x.names());
	x.put("a", "10.0.0.2", 2000);
	EXPECT_TRUE(bb_directory_tick(x.d, x.now));
	x.put("a", "10.0.0.2", 1000, true);
	EXPECT_FALSE(bb_directory_tick(x.d, x.now));
	EXPECT_EQ("a", x.names());
	// The present process writes its entry with its next heartbeat.
	x.now += 3 * kSecond / 2;
	x.put("a", "10.0.0.2", 2000);
	x.now += 60 * kSecond;
	EXPECT_FALSE(bb_directory_tick(x.d, x.now));
	// Nor does one put a backend server that is leaving back into use.
	x.put("a", "10.0.0.2", 2000, true);
	EXPECT_EQ("a-", x.names());
	x.put("a", "10.0.0.2", 1000);
	x.now += 6 * kSecond;
	EXPECT_EQ("a-", x.names());
	x.put("a", "10.0.0.2", 2000, true);
	x.now += 60 * kSecond;
	EXPECT_EQ("a-", x.names());
}

// Guards against a backend server that started again after the clock of its host
// was set back: it could not be seen to leave, and its new address was ignored.
TEST(Directory, StartAfterAClockThatWasSetBackTakesEffect)
{
	Directory x;

	x.put("a", "10.0.0.2", 2000);
	x.put("b", "10.0.0.3", 2000);
	EXPECT_EQ("a b", x.names());
	x.put("a", "10.0.0.2", 1000);
	x.put("b", "10.0.0.4", 1000);
	x.now += kSecond;
	// Leaving holds although it is still in doubt.
	x.put("a", "10.0.0.2", 1000, true);
	EXPECT_EQ("a- b", x.names());
	EXPECT_EQ("10.0.0.1 10.0.0.2 10.0.0.3", x.hosts());
	x.now += 2 * kSecond;
	EXPECT_EQ("a- b", x.names());
	EXPECT_EQ("10.0.0.1 10.0.0.2 10.0.0.3 10.0.0.4", x.hosts());
	x.put("b", "10.0.0.4", 1000, true);
	EXPECT_EQ("a- b-", x.names());
	bb_directory_remove(x.d, "a", x.now);
	EXPECT_EQ("b-", x.names());
	// One that had been leaving is used again, only later.
	x.put("b", "10.0.0.4", 500);
	x.now += 7 * kSecond;
	EXPECT_EQ("b-", x.names());
	x.now += 2 * kSecond;
	EXPECT_EQ("b", x.names());
}

// Guards against listing two backend servers with one address: only the one
// that started last can be running there.
TEST(Directory, AddressBelongsToTheLastStart)
{
	Directory x;

	x.put("old", "10.0.0.2", 1000);
	x.put("new", "10.0.0.2", 2000, false, "lookup");
	EXPECT_EQ("new", x.names());
	bb_directory_remove(x.d, "new", x.now);
	EXPECT_EQ("old", x.names());
}

// Guards against a registration of a foreign service that hides the backend
// server at its address.
TEST(Directory, AddressIsComparedAmongAcceptedEntriesOnly)
{
	struct bb_directory_filter orders = {};
	Directory x;
	size_t nr;

	orders.accepts = [](void *, const struct bb_directory_entry *e) {
		return !strcmp(e->service, "orders");
	};
	x.put("a", "10.0.0.2", 1000);
	x.put("forged", "10.0.0.2", 2000, false, "unknown");
	EXPECT_EQ("forged", x.names());
	auto *e = bb_directory_entries(x.d, &orders, &nr);
	ASSERT_EQ(1u, nr);
	EXPECT_STREQ("a", e[0]->id);
	g_free(e);
}

// Guards against publishing a new configuration for each heartbeat, which
// writes the same entry again.
TEST(Directory, SameEntryIsNoChange)
{
	Directory x;

	x.put("a", "10.0.0.2");
	EXPECT_TRUE(bb_directory_tick(x.d, x.now));
	x.put("a", "10.0.0.2");
	x.now += 100 * kSecond;
	EXPECT_FALSE(bb_directory_tick(x.d, x.now));
	x.put("a", "10.0.0.2", 1, true);
	EXPECT_TRUE(bb_directory_tick(x.d, x.now));
}

// Guards against a cold time that begins anew with each list that repeats the same
// write, and against one of another host that changes the configuration.
TEST(Directory, ColdTimeCountsFromTheWriteThatToldIt)
{
	Directory x;
	auto put = [&](const char *id, const char *address, int64_t left_ms,
		       int64_t started_ms = 1) {
		struct bb_directory_entry e = {};

		e.id = (char *)id;
		e.service = (char *)"orders";
		e.zone = (char *)"za";
		e.address = (char *)address;
		e.slots = 5;
		e.started_ms = started_ms;
		e.warmup_left_ms = left_ms;
		bb_directory_put(x.d, &e, x.now);
		return bb_directory_tick(x.d, x.now);
	};
	auto cold_until = [&](size_t i) {
		size_t nr;
		auto *e = bb_directory_entries(x.d, nullptr, &nr);
		int64_t us = e[i]->cold_until_us;

		g_free(e);
		return us;
	};
	int64_t first = x.now;

	EXPECT_TRUE(put("a", "10.0.0.1", 3000));
	EXPECT_TRUE(put("b", "10.0.0.2", 3000));
	EXPECT_EQ(first + 3 * kSecond, cold_until(0));
	x.now += kSecond;
	bb_directory_begin_list(x.d);
	EXPECT_FALSE(put("a", "10.0.0.1", 3000));
	EXPECT_FALSE(put("b", "10.0.0.2", 3000));
	bb_directory_end_list(x.d, x.now);
	EXPECT_EQ(first + 3 * kSecond, cold_until(0));
	EXPECT_TRUE(put("a", "10.0.0.1", 1900));
	EXPECT_EQ(x.now + 1900 * BB_US_PER_MS, cold_until(0));
	EXPECT_FALSE(put("b", "10.0.0.2", 1900));
	EXPECT_EQ(x.now + 1900 * BB_US_PER_MS, cold_until(1));
	x.now += 5 * kSecond;
	EXPECT_TRUE(put("a", "10.0.0.1", 0));
	EXPECT_EQ(0, cold_until(0));
	/* The next start, which happens to be as cold. */
	EXPECT_TRUE(put("a", "10.0.0.1", 3000, 2));
	EXPECT_EQ(x.now + 3 * kSecond, cold_until(0));
	x.now += kSecond;
	EXPECT_TRUE(put("a", "10.0.0.1", 3000, 3));
	EXPECT_EQ(x.now + 3 * kSecond, cold_until(0));
}

// Guards against requests to a leaving backend server that a restored registry
// has as ready again, and against one that stays out of use after it has started
// again.
TEST(Directory, LeavingOutlivesARestoredRegistry)
{
	Directory x;

	x.put("a", "10.0.0.2", 1000, true);
	x.put("b", "10.0.0.3", 1000, true);
	EXPECT_EQ("a- b-", x.names());
	bb_directory_remove(x.d, "b", x.now);
	EXPECT_EQ("a-", x.names());
	x.now += 10 * kSecond;
	bb_directory_registry_restored(x.d, x.now);
	bb_directory_begin_list(x.d);
	x.put("a", "10.0.0.2", 1000);
	x.put("b", "10.0.0.3", 1000);
	bb_directory_end_list(x.d, x.now);
	EXPECT_EQ("a-", x.names());
	x.now += 3 * kSecond;
	EXPECT_EQ("a- b-", x.names());
	x.put("a", "10.0.0.2", 2000);
	EXPECT_EQ("a b-", x.names());
}

// Guards against requests to a backend server that has left and that only the
// copy of a restored registry still has, and against one that is kept out of use
// although its entry stays.
TEST(Directory, RemovedEntryOfACopyWaits)
{
	Directory x;

	x.put("a", "10.0.0.2", 1000);
	x.put("b", "10.0.0.3", 1000);
	EXPECT_EQ("a b", x.names());
	bb_directory_remove(x.d, "a", x.now);
	bb_directory_remove(x.d, "b", x.now);
	EXPECT_EQ("", x.names());
	bb_directory_registry_restored(x.d, x.now);
	x.put("a", "10.0.0.2", 1000);
	x.put("b", "10.0.0.3", 1000);
	x.put("c", "10.0.0.4", 1000);
	EXPECT_EQ("c", x.names());
	x.now += 2 * kSecond;
	bb_directory_remove(x.d, "b", x.now);
	EXPECT_EQ("c", x.names());
	x.now += kSecond;
	EXPECT_TRUE(bb_directory_tick(x.d, x.now));
	EXPECT_EQ("a c", x.names());
	// Without a restore, an entry that is written again is used at once.
	bb_directory_remove(x.d, "a", x.now);
	EXPECT_EQ("c", x.names());
	x.put("a", "10.0.0.2", 1000);
	EXPECT_EQ("a c", x.names());
}

// Guards against backend servers that are dropped because the copy of a restored
// registry lacks them.
TEST(Directory, EntriesThatACopyLacksMayReturn)
{
	Directory x;

	x.put("a", "10.0.0.2");
	x.put("b", "10.0.0.3");
	bb_directory_registry_restored(x.d, x.now);
	bb_directory_begin_list(x.d);
	bb_directory_end_list(x.d, x.now);
	x.now += 2 * kSecond;
	EXPECT_EQ("a b", x.names());
	x.put("b", "10.0.0.3");
	x.now += kSecond;
	EXPECT_EQ("b", x.names());
}
