// Tests of the platform's list of hosts, on a simulated clock.
#include <glib.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/hosts.h"

namespace
{

const int64_t kPeriod = 2 * BB_US_PER_S;

struct List {
	GRand *random;
	std::set<std::string> configured{ "h0", "h1", "h2", "h3" };
	struct bb_hosts *h;
	int64_t now = 5000;
	struct bb_error err = {};

	explicit List(uint32_t seed = 1)
	{
		struct bb_hosts_options o = {};

		random = g_rand_new_with_seed(seed);
		o.random = random;
		o.period_us = kPeriod;
		o.backoff_max_us = 10 * BB_US_PER_S;
		o.configured = [](void *data, const char *host) {
			return ((List *)data)->configured.count(host) > 0;
		};
		o.data = this;
		h = bb_hosts_new(&o, now);
	}
	~List()
	{
		bb_hosts_delete(h);
		g_rand_free(random);
	}
	List(const List &) = delete;

	int update(const std::string &text)
	{
		err = {};
		return bb_hosts_update(h, text.data(), text.size(), now, &err);
	}
	int update(uint64_t sequence,
		   const std::map<std::string, std::string> &hosts)
	{
		std::string rows;

		for (auto &host : hosts)
			rows += std::string(rows.empty() ? "" : ",") +
				"{\"name\":\"" + host.first +
				"\",\"state\":\"" + host.second + "\"}";
		return update("{\"sequence\":" + std::to_string(sequence) +
			      ",\"hosts\":[" + rows + "]}");
	}
	bool leaving(const char *host) const
	{
		return bb_hosts_leaving(h, host);
	}
	// Time until the next read is due.
	int64_t wait()
	{
		int64_t start = now;

		while (!bb_hosts_read_due(h, now))
			now += 10 * BB_US_PER_MS;
		return now - start;
	}
};

} // namespace

// Guards against an old list from a stale replica that makes nodes send new
// requests to a host that the platform is removing.
TEST(Hosts, OlderListDoesNotEndLeaving)
{
	List l;

	EXPECT_EQ(0, l.update(5, { { "h1", "leaving" }, { "h2", "live" } }));
	EXPECT_EQ(-1, l.update(4, { { "h1", "live" }, { "h2", "leaving" } }));
	EXPECT_EQ(BB_ERROR_STALE, l.err.code);
	EXPECT_EQ(-1, l.update(5, { { "h1", "live" } }));
	EXPECT_EQ(BB_ERROR_STALE, l.err.code);
	EXPECT_TRUE(l.leaving("h1"));
	EXPECT_FALSE(l.leaving("h2"));
	EXPECT_EQ(5u, bb_hosts_sequence(l.h));
	EXPECT_EQ(0, l.update(6, { { "h1", "live" } }));
	EXPECT_FALSE(l.leaving("h1"));
}

// Guards against new requests to a host that is being removed because the next
// list says that it is dead, has an unknown state for it, or omits it.
TEST(Hosts, OnlyLiveEndsLeaving)
{
	List l;

	EXPECT_EQ(0, l.update(1, { { "h0", "leaving" },
				   { "h1", "leaving" },
				   { "h2", "leaving" },
				   { "h3", "leaving" } }));
	EXPECT_EQ(0, l.update(2, { { "h0", "dead" },
				   { "h1", "resting" },
				   { "h3", "live" } }));
	EXPECT_TRUE(l.leaving("h0"));
	EXPECT_TRUE(l.leaving("h1"));
	EXPECT_TRUE(l.leaving("h2"));
	EXPECT_FALSE(l.leaving("h3"));
}

// Guards against excluding a host that answers, because the list lags or is
// wrong about it.
TEST(Hosts, DeadOrAbsentIsNotLeaving)
{
	List l;

	EXPECT_FALSE(l.leaving("h0"));
	EXPECT_EQ(0, l.update(1, { { "h0", "dead" }, { "h1", "live" } }));
	EXPECT_FALSE(l.leaving("h0"));
	EXPECT_EQ(BB_HOST_DEAD, bb_hosts_state(l.h, "h0"));
	EXPECT_FALSE(l.leaving("h2"));
	EXPECT_EQ(BB_HOST_UNLISTED, bb_hosts_state(l.h, "h2"));
}

// Guards against applying a part of an invalid list.
TEST(Hosts, InvalidListChangesNothing)
{
	List l;
	const char *rows[] = {
		"",
		"nonsense",
		"[]",
		"{\"hosts\":[]}",
		"{\"sequence\":0,\"hosts\":[]}",
		"{\"sequence\":-9,\"hosts\":[]}",
		"{\"sequence\":\"9\",\"hosts\":[]}",
		"{\"sequence\":9}",
		"{\"sequence\":9,\"hosts\":{}}",
		"{\"sequence\":9,\"hosts\":[7]}",
		"{\"sequence\":9,\"hosts\":[{\"name\":\"h2\"}]}",
		"{\"sequence\":9,\"hosts\":[{\"state\":\"live\"}]}",
		R"({"sequence":9,"hosts":[{"name":"h2","state":"leaving"},
{"name":"h2","state":"live"}]})",
	};

	EXPECT_EQ(0, l.update(5, { { "h1", "leaving" } }));
	for (const char *row : rows) {
		EXPECT_EQ(-1, l.update(row)) << row;
		EXPECT_EQ(BB_ERROR_INVALID, l.err.code) << row;
		EXPECT_TRUE(l.leaving("h1")) << row;
		EXPECT_FALSE(l.leaving("h2")) << row;
		EXPECT_EQ(5u, bb_hosts_sequence(l.h)) << row;
	}
	EXPECT_EQ(-1,
		  l.update("{\"sequence\":9,\"hosts\":[{\"name\":\"" +
			   std::string(129, 'x') + "\",\"state\":\"live\"}]}"));
}

// Guards against names of replaced hosts that accumulate without bound, and
// against dropping the order for a host that is configured or listed.
TEST(Hosts, DropsOrdersForReplacedHosts)
{
	List l;

	EXPECT_EQ(0, l.update(1, { { "h1", "leaving" }, { "h2", "leaving" } }));
	l.configured.erase("h1");
	EXPECT_EQ(0, l.update(2, { { "h1", "dead" } }));
	EXPECT_TRUE(l.leaving("h1"));
	EXPECT_EQ(0, l.update(3, {}));
	EXPECT_FALSE(l.leaving("h1"));
	EXPECT_TRUE(l.leaving("h2"));
}

// Compares random lists in random order with a reference model: a host leaves
// if, of the applied lists that say live or leaving of it, the newest says
// leaving.
TEST(Hosts, AgreesWithReferenceModel)
{
	const char *states[] = { "live", "leaving", "dead", "odd", nullptr };
	GRand *g = g_rand_new_with_seed(4);

	for (uint32_t round = 0; round < 200; round++) {
		List l(round + 1);
		std::map<std::string, std::string> last;
		uint64_t newest = 0;

		for (int step = 0; step < 30; step++) {
			std::map<std::string, std::string> rows;
			uint64_t sequence =
				(uint64_t)g_rand_int_range(g, 1, 4 + 2 * step);

			for (auto &host : l.configured) {
				const char *s =
					states[g_rand_int_range(g, 0, 5)];

				if (s)
					rows[host] = s;
			}
			EXPECT_EQ(sequence > newest ? 0 : -1,
				  l.update(sequence, rows));
			if (sequence > newest) {
				newest = sequence;
				for (auto &row : rows)
					if (row.second[0] == 'l')
						last[row.first] = row.second;
			}
			for (auto &host : l.configured)
				ASSERT_EQ(last[host] == "leaving",
					  l.leaving(host.c_str()))
					<< "round " << round << " step " << step
					<< " " << host;
		}
	}
	g_rand_free(g);
}

// Guards against bursts of reads, a node that reads too rarely, and a second
// read before the first has ended, with 580 nodes that start at the same time.
TEST(Hosts, ReadsAreSpreadOverTheFleet)
{
	const int nodes = 580;
	const int64_t step = 50 * BB_US_PER_MS, seconds = 120;
	std::vector<std::unique_ptr<List>> fleet;
	std::vector<int> per_second(seconds);
	std::vector<int64_t> last(nodes, 0);
	int64_t gap = 0;
	int reads = 0;

	for (int i = 0; i < nodes; i++)
		fleet.push_back(std::make_unique<List>(i + 1));
	for (int64_t now = 0; now < seconds * BB_US_PER_S; now += step)
		for (int i = 0; i < nodes; i++) {
			if (!bb_hosts_read_due(fleet[i]->h, 5000 + now))
				continue;
			EXPECT_FALSE(
				bb_hosts_read_due(fleet[i]->h, 5000 + now));
			bb_hosts_read_unchanged(fleet[i]->h, 5000 + now);
			gap = std::max(gap, now - last[i]);
			last[i] = now;
			per_second[now / BB_US_PER_S]++;
			reads++;
		}
	RecordProperty("reads", reads);
	RecordProperty("most",
		       *std::max_element(per_second.begin(), per_second.end()));
	RecordProperty("gap_ms", (int)(gap / BB_US_PER_MS));
	EXPECT_LE(reads, nodes * seconds / 2 * 105 / 100);
	EXPECT_LE(*std::max_element(per_second.begin(), per_second.end()), 400);
	EXPECT_LE(gap, 3 * BB_US_PER_S + step);
}

// Guards against a node that reads too often while the service is down, or too
// late after its recovery.
TEST(Hosts, FailuresDelayReads)
{
	List l;
	int64_t waits[8];

	l.wait();
	for (int64_t &w : waits) {
		bb_hosts_read_failed(l.h, l.now);
		w = l.wait();
		EXPECT_GE(w, BB_US_PER_S);
		EXPECT_LE(w, 15 * BB_US_PER_S + 10 * BB_US_PER_MS);
	}
	EXPECT_GE(waits[7], 5 * BB_US_PER_S);
	bb_hosts_read_unchanged(l.h, l.now);
	EXPECT_EQ(l.now, bb_hosts_last_read_us(l.h));
	EXPECT_LE(l.wait(), 3 * BB_US_PER_S + 10 * BB_US_PER_MS);
	EXPECT_EQ(-1, l.update("nonsense"));
	EXPECT_GE(l.wait(), BB_US_PER_S);
}
