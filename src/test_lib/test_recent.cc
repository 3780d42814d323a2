// History of refused and failed requests, and the documents of /explain.
#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <microhttpd.h>
#include <string>
#include <thread>
#include <vector>

#include "config_fixture.h"

extern "C" {
#include "libnode/explain.h"
}

namespace
{
struct Fixture {
	struct bb_snapshots *snapshots = bb_snapshots_new("h1");
	struct bb_snapshot *snapshot;
	struct bb_request_history *history = bb_request_history_new(4);

	Fixture()
	{
		EXPECT_TRUE(bb_snapshots_swap(
			snapshots, parse(Document().json()).release()));
		snapshot = bb_snapshots_get(snapshots);
	}

	~Fixture()
	{
		bb_request_history_delete(history);
		bb_snapshot_put(snapshot);
		bb_snapshots_delete(snapshots);
	}

	void refuse(const std::string &id, uint32_t account,
		    enum bb_reason reason,
		    enum bb_verdict verdict = BB_VERDICT_NOT_RUN)
	{
		struct bb_call *c = bb_call_new(nullptr, snapshot);

		g_strlcpy(c->id, id.c_str(), sizeof(c->id));
		c->account = account;
		c->target = g_strdup("/book?q=secret");
		bb_call_refuse(c, verdict, reason, 0);
		bb_request_history_add(history, c);
		bb_call_delete(c);
	}

	std::string explain(const char *key, const char *value)
	{
		char *s = bb_explain(snapshot, history, key, value);
		std::string text(s ? s : "");

		free(s);
		return text;
	}
};

bool has(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}
} // namespace

// Guards against a history that grows without bound, or that drops a newer
// entry before an older one.
TEST(Recent, KeepsTheLastOnes)
{
	Fixture f;

	for (int i = 0; i < 6; i++)
		f.refuse("id-" + std::to_string(i), BB_NO_ROW,
			 BB_REASON_UNAUTHORIZED);
	EXPECT_EQ("", f.explain("request", "id-0"));
	EXPECT_EQ("", f.explain("request", "id-1"));
	for (int i = 2; i < 6; i++)
		EXPECT_TRUE(has(f.explain("request",
					  ("id-" + std::to_string(i)).c_str()),
				"\"unauthorized\""));
}

// Guards against many refusals that displace the entry of a request that may
// have run.
TEST(Recent, RefusalsDoNotDisplaceFailures)
{
	Fixture f;

	f.refuse("id-ran", 0, BB_REASON_DEADLINE, BB_VERDICT_MAY_HAVE_RUN);
	for (int i = 0; i < 100; i++)
		f.refuse("id", 0, BB_REASON_UNAUTHORIZED);
	EXPECT_TRUE(has(f.explain("request", "id-ran"), "\"may-have-run\""));
	EXPECT_TRUE(has(f.explain("account", "account-1"),
			"{\"unauthorized\":4,\"deadline\":1}"));
}

// Guards against a document that lacks facts about the request, or that
// contains its target.
TEST(Explain, RequestShowsReasonAndNoTarget)
{
	Fixture f;
	std::string text;

	f.refuse("id-1", 0, BB_REASON_RATE_LIMITED);
	text = f.explain("request", "id-1");
	EXPECT_TRUE(has(text, "\"reason\":\"rate-limited\""));
	EXPECT_TRUE(has(text, "\"verdict\":\"not-run\""));
	EXPECT_TRUE(has(text, "\"status\":429"));
	EXPECT_TRUE(has(text, "\"account\":\"account-1\""));
	EXPECT_TRUE(has(text, "\"route\":null"));
	EXPECT_FALSE(has(text, "secret"));
}

// Guards against counting refusals for another account, and against showing
// hashes of keys.
TEST(Explain, AccountCountsItsOwnRefusals)
{
	Fixture f;
	std::string text;

	f.refuse("id-1", 0, BB_REASON_RATE_LIMITED);
	f.refuse("id-2", 0, BB_REASON_RATE_LIMITED);
	f.refuse("id-3", 1, BB_REASON_DEADLINE);
	text = f.explain("account", "account-1");
	EXPECT_TRUE(has(text, "\"recent_refusals\":{\"rate-limited\":2}"));
	EXPECT_TRUE(has(text, "\"rate_per_s\":10.0"));
	EXPECT_FALSE(has(text, hash_of("bbk_1")));
	EXPECT_TRUE(has(f.explain("account", "account-2"),
			"\"recent_refusals\":{\"deadline\":1}"));
}

// Guards against describing another backend server, and against a crash on
// missing or unknown arguments.
TEST(Explain, BackendAndUnknownArguments)
{
	Fixture f;
	std::string text = f.explain("backend", "o2");

	EXPECT_TRUE(has(text, "\"host\":\"h2\""));
	EXPECT_TRUE(has(text, "\"configured_state\":\"leaving\""));
	EXPECT_TRUE(has(text, "\"adjacent\":false"));
	EXPECT_TRUE(has(f.explain("backend", "o1"), "\"adjacent\":true"));
	EXPECT_EQ("", f.explain("backend", "none"));
	EXPECT_EQ("", f.explain("account", "none"));
	EXPECT_EQ("", f.explain("host", "h1"));
	EXPECT_EQ("", f.explain("request", nullptr));
	EXPECT_EQ("", f.explain(nullptr, nullptr));
	EXPECT_EQ(nullptr, bb_explain(nullptr, f.history, "backend", "o1"));
}

// Guards against partly written entries when several threads record requests at
// the same time.
TEST(Recent, ThreadsShareTheHistory)
{
	Fixture f;
	std::vector<std::thread> threads;

	for (int t = 0; t < 4; t++)
		threads.emplace_back([&f, t] {
			for (int i = 0; i < 500; i++)
				f.refuse("id-" + std::to_string(t), 0,
					 BB_REASON_DEADLINE);
		});
	for (int i = 0; i < 500; i++)
		f.explain("request", "id-0");
	for (std::thread &t : threads)
		t.join();
	EXPECT_TRUE(has(f.explain("account", "account-1"), "\"deadline\":4"));
}
