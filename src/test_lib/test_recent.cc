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
struct Node {
	struct bb_snapshots *snapshots = bb_snapshots_new("h1");
	struct bb_snapshot *snapshot;
	struct bb_request_history *history = bb_request_history_new(4);

	Node()
	{
		EXPECT_TRUE(bb_snapshots_swap(
			snapshots, parse(Document().json()).release()));
		snapshot = bb_snapshots_get(snapshots);
	}

	~Node()
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

// Guards against a list that grows, or that drops a newer entry first.
TEST(Recent, KeepsTheLastOnes)
{
	Node n;

	for (int i = 0; i < 6; i++)
		n.refuse("id-" + std::to_string(i), BB_NO_ROW,
			 BB_REASON_UNAUTHORIZED);
	EXPECT_EQ("", n.explain("request", "id-0"));
	EXPECT_EQ("", n.explain("request", "id-1"));
	for (int i = 2; i < 6; i++)
		EXPECT_TRUE(has(n.explain("request",
					  ("id-" + std::to_string(i)).c_str()),
				"\"unauthorized\""));
}

// Guards against a request that may have run and cannot be explained because
// refusals came after it.
TEST(Recent, RefusalsDoNotPushOutFailures)
{
	Node n;

	n.refuse("id-ran", 0, BB_REASON_DEADLINE, BB_VERDICT_MAY_HAVE_RUN);
	for (int i = 0; i < 100; i++)
		n.refuse("id", 0, BB_REASON_UNAUTHORIZED);
	EXPECT_TRUE(has(n.explain("request", "id-ran"), "\"may-have-run\""));
	EXPECT_TRUE(has(n.explain("account", "account-1"),
			"{\"unauthorized\":4,\"deadline\":1}"));
}

// Guards against an explanation without its facts, or with request text.
TEST(Explain, RequestShowsReasonAndNoTarget)
{
	Node n;
	std::string text;

	n.refuse("id-1", 0, BB_REASON_RATE_LIMITED);
	text = n.explain("request", "id-1");
	EXPECT_TRUE(has(text, "\"reason\":\"rate-limited\""));
	EXPECT_TRUE(has(text, "\"verdict\":\"not-run\""));
	EXPECT_TRUE(has(text, "\"status\":429"));
	EXPECT_TRUE(has(text, "\"account\":\"account-1\""));
	EXPECT_TRUE(has(text, "\"route\":null"));
	EXPECT_FALSE(has(text, "secret"));
}

// Guards against refusals counted for another account, and shown key hashes.
TEST(Explain, AccountCountsItsOwnRefusals)
{
	Node n;
	std::string text;

	n.refuse("id-1", 0, BB_REASON_RATE_LIMITED);
	n.refuse("id-2", 0, BB_REASON_RATE_LIMITED);
	n.refuse("id-3", 1, BB_REASON_DEADLINE);
	text = n.explain("account", "account-1");
	EXPECT_TRUE(has(text, "\"recent_refusals\":{\"rate-limited\":2}"));
	EXPECT_TRUE(has(text, "\"rate_per_s\":10.0"));
	EXPECT_FALSE(has(text, hash_of("bbk_1")));
	EXPECT_TRUE(has(n.explain("account", "account-2"),
			"\"recent_refusals\":{\"deadline\":1}"));
}

// Guards against a wrong row, and a crash on arguments that are missing.
TEST(Explain, BackendAndUnknownArguments)
{
	Node n;
	std::string text = n.explain("backend", "o2");

	EXPECT_TRUE(has(text, "\"host\":\"h2\""));
	EXPECT_TRUE(has(text, "\"configured_state\":\"leaving\""));
	EXPECT_TRUE(has(text, "\"adjacent\":false"));
	EXPECT_TRUE(has(n.explain("backend", "o1"), "\"adjacent\":true"));
	EXPECT_EQ("", n.explain("backend", "none"));
	EXPECT_EQ("", n.explain("account", "none"));
	EXPECT_EQ("", n.explain("host", "h1"));
	EXPECT_EQ("", n.explain("request", nullptr));
	EXPECT_EQ("", n.explain(nullptr, nullptr));
	EXPECT_EQ(nullptr, bb_explain(nullptr, n.history, "backend", "o1"));
}

// Guards against torn entries when several threads answer requests.
TEST(Recent, ThreadsShareTheList)
{
	Node n;
	std::vector<std::thread> threads;

	for (int t = 0; t < 4; t++)
		threads.emplace_back([&n, t] {
			for (int i = 0; i < 500; i++)
				n.refuse("id-" + std::to_string(t), 0,
					 BB_REASON_DEADLINE);
		});
	for (int i = 0; i < 500; i++)
		n.explain("request", "id-0");
	for (std::thread &t : threads)
		t.join();
	EXPECT_TRUE(has(n.explain("account", "account-1"), "\"deadline\":4"));
}
