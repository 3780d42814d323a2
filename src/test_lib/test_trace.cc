#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <condition_variable>
#include <cstring>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/metrics.h"
#include "baobabward/trace.h"
#include "config_fixture.h"

extern "C" {
#include "libnode/request_spans.h"
}

namespace
{
const char *const PARENT =
	"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

struct Span {
	std::string trace, id, parent, name;
	std::map<std::string, std::string> attributes;
	json_int_t kind;
	json_int_t status;
};

/* Collector that refuses the first posts and keeps the spans of all others. */
class Collector
{
      public:
	explicit Collector(unsigned int refusals = 0,
			   unsigned int refusal_status = 503)
	    : refusals_(refusals), refusal_status_(refusal_status)
	{
		struct sockaddr_in address = {};

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		daemon_ = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0,
					   nullptr, nullptr, on_request, this,
					   MHD_OPTION_SOCK_ADDR, &address,
					   MHD_OPTION_END);
		EXPECT_NE(nullptr, daemon_);
	}

	~Collector()
	{
		MHD_stop_daemon(daemon_);
	}

	Collector(const Collector &) = delete;
	Collector &operator=(const Collector &) = delete;

	std::string url() const
	{
		return "http://127.0.0.1:" +
		       std::to_string(
			       MHD_get_daemon_info(daemon_,
						   MHD_DAEMON_INFO_BIND_PORT)
				       ->port) +
		       "/v1/traces";
	}

	void wait_for_spans(size_t nr)
	{
		std::unique_lock<std::mutex> lock(mutex_);

		changed_.wait(lock, [&] { return spans_.size() >= nr; });
	}

	std::vector<Span> spans()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return spans_;
	}

	std::vector<size_t> batches()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return batches_;
	}

	std::string raw()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return raw_;
	}

      private:
	static enum MHD_Result on_request(void *data, struct MHD_Connection *c,
					  const char *url, const char *method,
					  const char *version,
					  const char *upload, size_t *size,
					  void **request)
	{
		auto *self = static_cast<Collector *>(data);
		auto *body = static_cast<std::string *>(*request);
		unsigned int status;

		(void)version;
		if (!body) {
			*request = new std::string;
			return MHD_YES;
		}
		if (*size) {
			body->append(upload, *size);
			*size = 0;
			return MHD_YES;
		}
		EXPECT_STREQ("/v1/traces", url);
		EXPECT_STREQ("POST", method);
		EXPECT_STREQ("application/json",
			     MHD_lookup_connection_value(c, MHD_HEADER_KIND,
							 "Content-Type"));
		status = self->accept(*body);
		delete body;
		*request = nullptr;
		return respond(c, status);
	}

	static enum MHD_Result respond(struct MHD_Connection *c,
				       unsigned int status)
	{
		static char empty[] = "{}";
		struct MHD_Response *r = MHD_create_response_from_buffer(
			2, empty, MHD_RESPMEM_PERSISTENT);
		enum MHD_Result rc = MHD_queue_response(c, status, r);

		MHD_destroy_response(r);
		return rc;
	}

	unsigned int accept(const std::string &body)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		if (refusals_) {
			refusals_--;
			return refusal_status_;
		}
		raw_ += body;
		parse(body);
		changed_.notify_all();
		return 200;
	}

	static std::string text(json_t *o, const char *key)
	{
		const char *s = json_string_value(json_object_get(o, key));

		return s ? s : "";
	}

	void parse(const std::string &body)
	{
		json_t *o = json_loadb(body.data(), body.size(), 0, nullptr);
		json_t *resource =
			json_array_get(json_object_get(o, "resourceSpans"), 0);
		json_t *list = json_object_get(
			json_array_get(json_object_get(resource, "scopeSpans"),
				       0),
			"spans");
		json_t *row;
		size_t i;

		ASSERT_NE(nullptr, o);
		batches_.push_back(json_array_size(list));
		json_array_foreach (list, i, row)
			spans_.push_back(span(row));
		json_decref(o);
	}

	static Span span(json_t *row)
	{
		Span s = {};
		json_t *a;
		size_t i;

		s.trace = text(row, "traceId");
		s.id = text(row, "spanId");
		s.parent = text(row, "parentSpanId");
		s.name = text(row, "name");
		s.kind = json_integer_value(json_object_get(row, "kind"));
		s.status = json_integer_value(json_object_get(
			json_object_get(row, "status"), "code"));
		json_array_foreach (json_object_get(row, "attributes"), i, a) {
			json_t *value = json_object_get(a, "value");

			s.attributes[text(a, "key")] =
				text(value, "stringValue") +
				text(value, "intValue");
		}
		EXPECT_LE(std::stoll(text(row, "startTimeUnixNano")),
			  std::stoll(text(row, "endTimeUnixNano")));
		return s;
	}

	struct MHD_Daemon *daemon_;
	std::mutex mutex_;
	std::condition_variable changed_;
	std::vector<Span> spans_;
	std::vector<size_t> batches_;
	std::string raw_;
	unsigned int refusals_;
	unsigned int refusal_status_;
};

struct bb_tracer_options options(const std::string &url)
{
	struct bb_tracer_options o = {};

	o.url = url.c_str();
	o.host = "host-1";
	o.ratio = 1.0;
	o.interval_us = BB_US_PER_MS;
	o.backoff_us = BB_US_PER_MS;
	return o;
}

struct bb_tracer *tracer_new(const struct bb_tracer_options &o)
{
	struct bb_error err = {};
	struct bb_tracer *t = bb_tracer_new(&o, &err);

	EXPECT_NE(nullptr, t) << err.message;
	return t;
}

void add_spans(struct bb_tracer *t, int nr)
{
	for (int i = 0; i < nr; i++) {
		struct bb_trace_context c;

		ASSERT_TRUE(bb_tracer_context(t, nullptr, 0, &c));
		bb_span_end(t, bb_span_begin(t, "s", BB_SPAN_SERVER, &c, 1),
			    BB_VERDICT_RAN, BB_REASON_NONE, 200, 2);
	}
}

uint64_t lost_spans()
{
	return bb_metrics_get(BB_METRIC_SPANS_LOST);
}

bool is_valid(const std::string &s)
{
	struct bb_trace_context c;

	return bb_traceparent_parse(s.data(), s.size(), &c);
}
} // namespace

// Guards against a trace id, span id or flag that changes between parsing and
// formatting, which would break the trace at the backend server.
TEST(Traceparent, FormatRestoresParsedValue)
{
	struct bb_trace_context c;
	char text[BB_TRACEPARENT_SIZE];

	for (const char *flags : { "00", "01" }) {
		std::string s = std::string(PARENT).substr(0, 53) + flags;

		ASSERT_TRUE(bb_traceparent_parse(s.data(), s.size(), &c));
		EXPECT_EQ(flags == std::string("01"), c.sampled);
		bb_traceparent_format(&c, text);
		EXPECT_EQ(s, text);
	}
}

// Guards against values that are invalid by W3C Trace Context and still reach a
// backend server.
TEST(Traceparent, RejectsInvalidValues)
{
	const std::string good = PARENT;

	EXPECT_FALSE(bb_traceparent_parse(nullptr, 0, nullptr));
	for (size_t n = 0; n < good.size(); n++)
		EXPECT_FALSE(is_valid(good.substr(0, n))) << n;
	for (size_t i = 0; i < good.size(); i++) {
		std::string bad = good;

		bad[i] = bad[i] == '-' ? '0' : 'A';
		EXPECT_FALSE(is_valid(bad)) << bad;
	}
	EXPECT_FALSE(is_valid(good + "-"));
	EXPECT_FALSE(is_valid("ff" + good.substr(2)));
	EXPECT_FALSE(is_valid("00-" + std::string(32, '0') + good.substr(35)));
	EXPECT_FALSE(
		is_valid(good.substr(0, 36) + std::string(16, '0') + "-01"));
	EXPECT_TRUE(is_valid("01" + good.substr(2)));
	EXPECT_TRUE(is_valid("01" + good.substr(2) + "-later"));
	EXPECT_FALSE(is_valid("01" + good.substr(2) + "later"));
}

// Without an endpoint there is no tracer. Guards against spans that are
// recorded all the same, and against a new unsampled context, which would stop
// the backend server from recording its own trace.
TEST(Tracer, OffForwardsOnlyValidContexts)
{
	struct bb_trace_context c;

	EXPECT_TRUE(bb_tracer_context(nullptr, PARENT, strlen(PARENT), &c));
	EXPECT_EQ(nullptr, bb_span_begin(nullptr, "s", BB_SPAN_SERVER, &c, 0));
	EXPECT_FALSE(bb_tracer_context(nullptr, "x", 1, &c));
	bb_span_set_attribute(nullptr, BB_SPAN_ROUTE, "r", 1);
	bb_span_end(nullptr, nullptr, BB_VERDICT_RAN, BB_REASON_NONE, 200, 0);
	bb_tracer_delete(nullptr);
}

// Guards against a ratio that overrules the sampled flag of the caller.
TEST(Tracer, SampledFlagOfCallerPrecedesRatio)
{
	Collector collector;
	std::string url = collector.url();
	std::string unsampled = std::string(PARENT).substr(0, 53) + "00";
	struct bb_trace_context c;

	for (double ratio : { 0.0, 1.0 }) {
		struct bb_tracer_options o = options(url);
		struct bb_tracer *t;

		o.ratio = ratio;
		t = tracer_new(o);
		EXPECT_TRUE(bb_tracer_context(t, PARENT, 55, &c));
		EXPECT_TRUE(c.sampled);
		EXPECT_TRUE(bb_tracer_context(t, unsampled.data(), 55, &c));
		EXPECT_FALSE(c.sampled);
		EXPECT_EQ(nullptr,
			  bb_span_begin(t, "s", BB_SPAN_SERVER, &c, 0));
		EXPECT_TRUE(bb_tracer_context(t, "bad", 3, &c));
		EXPECT_EQ(ratio > 0, c.sampled);
		bb_tracer_delete(t);
	}
}

// Guards against a ratio that records none or all traces. The ids are random,
// so the bounds are 20 standard deviations wide.
TEST(Tracer, RatioRecordsAShare)
{
	Collector collector;
	std::string url = collector.url();
	struct bb_tracer_options o = options(url);
	struct bb_tracer *t;
	int nr = 0;

	o.ratio = 0.25;
	t = tracer_new(o);
	for (int i = 0; i < 10000; i++) {
		struct bb_trace_context c;

		bb_tracer_context(t, nullptr, 0, &c);
		nr += c.sampled;
	}
	EXPECT_GT(nr, 2500 - 20 * 43);
	EXPECT_LT(nr, 2500 + 20 * 43);
	bb_tracer_delete(t);
}

// Guards against spans still queued at a planned stop that are not posted, and
// against batches larger than batch_max.
TEST(Tracer, StopPostsQueuedSpans)
{
	Collector collector;
	std::string url = collector.url();
	struct bb_tracer_options o = options(url);
	uint64_t before = lost_spans();
	struct bb_tracer *t;

	o.interval_us = 3600 * BB_US_PER_S;
	o.batch_max = 8;
	t = tracer_new(o);
	add_spans(t, 20);
	bb_tracer_delete(t);
	EXPECT_EQ(20u, collector.spans().size());
	EXPECT_EQ((std::vector<size_t>{ 8, 8, 4 }), collector.batches());
	EXPECT_EQ(before, lost_spans());
}

// Guards against a full queue that blocks the caller or grows, and against
// dropped spans that are not counted.
TEST(Tracer, FullQueueCountsLosses)
{
	Collector collector;
	std::string url = collector.url();
	struct bb_tracer_options o = options(url);
	uint64_t before = lost_spans();
	struct bb_tracer *t;

	o.interval_us = 3600 * BB_US_PER_S;
	o.capacity = 8;
	t = tracer_new(o);
	add_spans(t, 10);
	EXPECT_EQ(before + 3, lost_spans());
	bb_tracer_delete(t);
	EXPECT_EQ(7u, collector.spans().size());
	EXPECT_EQ(before + 3, lost_spans());
}

// Guards against a batch that is dropped, or stored twice, after the collector
// answered 503.
TEST(Tracer, BatchIsRetriedAfterFailure)
{
	Collector collector(3);
	std::string url = collector.url();
	struct bb_tracer *t = tracer_new(options(url));
	uint64_t before = lost_spans();

	add_spans(t, 5);
	collector.wait_for_spans(5);
	bb_tracer_delete(t);
	EXPECT_EQ(5u, collector.spans().size());
	EXPECT_EQ(before, lost_spans());
}

// Guards against a batch refused with a status that is not retryable, which
// would block all later batches if it were retried.
TEST(Tracer, RefusedBatchIsDropped)
{
	Collector collector(1, 400);
	std::string url = collector.url();
	struct bb_tracer_options o = options(url);
	uint64_t before = lost_spans();
	struct bb_tracer *t;

	o.batch_max = 1;
	t = tracer_new(o);
	add_spans(t, 3);
	collector.wait_for_spans(2);
	bb_tracer_delete(t);
	EXPECT_EQ(2u, collector.spans().size());
	EXPECT_EQ(before + 1, lost_spans());
}

// Guards against a stop that retries until a collector that is down accepts the
// spans.
TEST(Tracer, StopDropsSpansIfCollectorIsDown)
{
	std::string url;
	uint64_t before = lost_spans();
	struct bb_tracer *t;

	{
		Collector collector;

		url = collector.url();
	}
	t = tracer_new(options(url));
	add_spans(t, 5);
	bb_tracer_delete(t);
	EXPECT_EQ(before + 5, lost_spans());
}

// Guards against spans that are lost without being counted, or exported twice,
// when several threads end spans at the same time.
TEST(Tracer, ThreadsShareTheQueue)
{
	Collector collector;
	std::string url = collector.url();
	struct bb_tracer_options o = options(url);
	uint64_t before = lost_spans();
	std::vector<std::thread> threads;
	std::map<std::string, int> ids;
	struct bb_tracer *t;

	o.capacity = 256;
	t = tracer_new(o);
	for (int i = 0; i < 4; i++)
		threads.emplace_back([t] { add_spans(t, 1000); });
	for (std::thread &thread : threads)
		thread.join();
	bb_tracer_delete(t);
	for (const Span &s : collector.spans())
		EXPECT_EQ(1, ++ids[s.id]);
	EXPECT_EQ(4000u, collector.spans().size() + lost_spans() - before);
}

namespace
{
struct Call {
	struct bb_snapshots *snapshots = bb_snapshots_new("h1");
	struct bb_call *c;

	Call()
	{
		struct bb_snapshot *s;

		EXPECT_TRUE(bb_snapshots_swap(
			snapshots, parse(Document().json()).release()));
		s = bb_snapshots_get(snapshots);
		c = bb_call_new(nullptr, s);
		bb_snapshot_put(s);
		strcpy(c->id, "id-1");
		c->route = 1;
		c->account = 0;
		c->target = g_strdup("/book?secret=query");
		c->traceparent = g_strdup(PARENT);
		bb_call_add_header(c, "x", 1, "header-text", 11);
	}

	~Call()
	{
		bb_call_delete(c);
		bb_snapshots_delete(snapshots);
	}
};

struct bb_bytes bytes(const char *s)
{
	return { s, strlen(s) };
}

/*
 * Runs the span functions of the entry node and of the adjacent node for a
 * request with two attempts. Returns the traceparent for the backend server.
 */
std::string run_request(struct bb_tracer *t, struct bb_call *c)
{
	struct bb_entry_spans e = {};
	struct bb_adjacent_spans a = {};
	struct bb_message_execute x = {};
	std::string sent;
	struct bb_bytes b;

	bb_entry_spans_begin(&e, t, c);
	bb_entry_spans_begin_attempt(&e, c, "o1");
	bb_entry_spans_end_attempt(&e, BB_VERDICT_NOT_RUN, BB_REASON_QUEUE_FULL,
				   0);
	bb_entry_spans_begin_attempt(&e, c, "o2");
	x.traceparent = bytes(e.traceparent);
	x.backend = bytes("o2");
	x.route = bytes("book");
	x.account = bytes("account-1");
	bb_adjacent_spans_begin(&a, t, &x);
	b = bb_adjacent_spans_begin_exchange(&a, &x, "o2");
	sent.assign(b.data, b.size);
	bb_adjacent_spans_end(&a, BB_VERDICT_RAN, BB_REASON_NONE, 201);
	c->answer.status = 201;
	c->answer.verdict = BB_VERDICT_RAN;
	bb_entry_spans_end(&e, c);
	return sent;
}
} // namespace

// Guards against spans of the two nodes that do not form one trace, and against
// exported spans that contain text of the query or of header fields.
TEST(RequestSpans, SpansOfARequestFormATree)
{
	Collector collector;
	std::string url = collector.url();
	struct bb_tracer *t = tracer_new(options(url));
	std::map<std::string, std::vector<Span>> by_name;
	std::string sent;
	Call call;

	sent = run_request(t, call.c);
	bb_tracer_delete(t);
	for (const Span &s : collector.spans()) {
		EXPECT_EQ(std::string(PARENT).substr(3, 32), s.trace);
		EXPECT_EQ("book", s.attributes.at("baobabward.route"));
		EXPECT_EQ("account-1",
			  s.attributes.at("baobabward.client_account"));
		by_name[s.name].push_back(s);
	}
	ASSERT_EQ(1u, by_name["request"].size());
	ASSERT_EQ(2u, by_name["attempt"].size());
	ASSERT_EQ(1u, by_name["queue"].size());
	ASSERT_EQ(1u, by_name["backend"].size());
	const Span &server = by_name["request"][0];
	const Span &first = by_name["attempt"][0];
	const Span &second = by_name["attempt"][1];
	const Span &backend = by_name["backend"][0];
	EXPECT_EQ(std::string(PARENT).substr(36, 16), server.parent);
	EXPECT_EQ("id-1", server.attributes.at("baobabward.request_id"));
	EXPECT_EQ("201", server.attributes.at("http.response.status_code"));
	EXPECT_EQ(server.id, first.parent);
	EXPECT_EQ("queue-full", first.attributes.at("baobabward.reason"));
	EXPECT_EQ("not-run", first.attributes.at("baobabward.verdict"));
	EXPECT_EQ(2, first.status);
	EXPECT_EQ(server.id, second.parent);
	EXPECT_EQ("o2", second.attributes.at("baobabward.backend_server"));
	EXPECT_EQ(second.id, by_name["queue"][0].parent);
	EXPECT_EQ(second.id, backend.parent);
	EXPECT_EQ("ran", backend.attributes.at("baobabward.verdict"));
	EXPECT_EQ("00-" + server.trace + "-" + backend.id + "-01", sent);
	EXPECT_EQ(std::string::npos, collector.raw().find("query"));
	EXPECT_EQ(std::string::npos, collector.raw().find("header-text"));
	EXPECT_NE(std::string::npos, collector.raw().find("host-1"));
}

// Guards against a node without tracing that drops the caller's traceparent, so
// that the caller's trace ends there, or forwards an invalid one.
TEST(RequestSpans, WithoutTracerContextPassesThrough)
{
	Call call;

	EXPECT_EQ(PARENT, run_request(nullptr, call.c));
	g_free(call.c->traceparent);
	call.c->traceparent = g_strdup("not a traceparent");
	EXPECT_EQ("", run_request(nullptr, call.c));
}
