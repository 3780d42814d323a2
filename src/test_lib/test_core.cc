#include <gtest/gtest.h>
#include <glib.h>
#include <cstring>
#include <set>
#include <string>

#include "baobabward/clock.h"
#include "baobabward/error.h"
#include "baobabward/metrics.h"
#include "baobabward/verdict.h"

// Guards against a message that overflows the buffer of an error.
TEST(Error, LongMessageIsTruncated)
{
	struct bb_error err;
	std::string s(2 * BB_ERROR_MESSAGE_SIZE, 'x');

	EXPECT_EQ(-1, bb_error_set(&err, BB_ERROR_IO, "%s", s.c_str()));
	EXPECT_EQ(BB_ERROR_IO, err.code);
	EXPECT_EQ(BB_ERROR_MESSAGE_SIZE - 1u, strlen(err.message));
}

// Guards against reason tables whose rows are not in the order of the enum.
TEST(Verdict, StatusAndNameOfEachReason)
{
	std::set<std::string> names;

	for (int i = 0; i < BB_REASON_COUNT; i++)
		names.insert(bb_reason_string[i]);
	EXPECT_EQ((size_t)BB_REASON_COUNT, names.size());
	EXPECT_EQ(401u, bb_reason_status(BB_REASON_UNAUTHORIZED));
	EXPECT_EQ(429u, bb_reason_status(BB_REASON_RATE_LIMITED));
	EXPECT_EQ(504u, bb_reason_status(BB_REASON_PEER_SILENT));
	EXPECT_EQ(500u, bb_reason_status(BB_REASON_INTERNAL));
	EXPECT_STREQ("internal", bb_reason_string[BB_REASON_INTERNAL]);
	EXPECT_STREQ("peer-silent", bb_reason_string[BB_REASON_PEER_SILENT]);
}

// Guards against a metric that is counted but not exported.
TEST(Metrics, TextHasCountersAndRefusals)
{
	bb_metrics_add(BB_METRIC_RETRIES, 3);
	bb_metrics_count_refusal(BB_REASON_QUEUE_FULL);
	char *text = bb_metrics_text();
	std::string s(text);

	g_free(text);
	EXPECT_NE(std::string::npos, s.find("baobabward_retries_total 3\n"));
	EXPECT_NE(
		std::string::npos,
		s.find("baobabward_refused_total{reason=\"queue-full\"} 1\n"));
}

// Guards against a time in the wrong bucket, and against buckets that do not
// include the ones below, as the Prometheus text format requires.
TEST(Metrics, HistogramsAreCumulative)
{
	char *text;

	for (int64_t us :
	     { INT64_C(-5), INT64_C(1000), INT64_C(1001), INT64_C(20000000) })
		bb_metrics_observe(BB_HISTOGRAM_QUEUE, us);
	text = bb_metrics_text();
	for (const char *line : { "queue_seconds_bucket{le=\"0.001\"} 2\n",
				  "queue_seconds_bucket{le=\"0.002\"} 3\n",
				  "queue_seconds_bucket{le=\"10.000\"} 3\n",
				  "queue_seconds_bucket{le=\"+Inf\"} 4\n",
				  "queue_seconds_count 4\n" })
		EXPECT_NE(nullptr, strstr(text, line)) << line;
	g_free(text);
}
