/* Queue of ended spans and the exporter thread, which posts them. */
#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <math.h>
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "libcore/ring.h"
#include "libtrace/span.h"

/*
 * A node of the target size answers about 170 requests/s, which makes about
 * 700 spans/s. The queue holds 5 s of them and takes 2.5 MB at most.
 */
#define DEFAULT_CAPACITY_SPANS 4096u
#define DEFAULT_BATCH_MAX_SPANS 512u
#define DEFAULT_INTERVAL_US (500 * BB_US_PER_MS)
#define DEFAULT_BACKOFF_US BB_US_PER_S
#define DEFAULT_FLUSH_US (2 * BB_US_PER_S)
#define BACKOFF_MAX_FACTOR 32
/* Time limit of one post; also bounds the stop while a post hangs. */
#define POST_TIMEOUT_MS 1500L

/**
 * struct bb_tracer - span queue and its exporter thread.
 * @o: options with the defaults filled in; its strings are not used
 * @url: OTLP/HTTP endpoint
 * @host: name of this host
 * @ring: queue of ended spans
 * @thread: exporter thread
 * @mutex: protects @stopping and @stop_us
 * @wake: signalled when @stopping is set
 * @stopping: the exporter thread is to flush the queue and end
 * @stop_us: when @stopping was set, on the monotonic clock
 *
 * Used by the exporter thread only:
 * @easy: libcurl handle
 * @headers: HTTP headers of a post
 * @body: encoded batch, NULL for none
 * @body_spans: number of spans in @body
 * @backoff_us: pause before the next attempt, 0 unless the last post failed
 * @refusal_logged: a refusal was logged since the last delivered batch
 */
struct bb_tracer {
	struct bb_tracer_options o;
	char *url;
	char *host;
	struct bb_ring *ring;
	pthread_t thread;
	pthread_mutex_t mutex;
	pthread_cond_t wake;
	bool stopping;
	int64_t stop_us;

	CURL *easy;
	struct curl_slist *headers;
	char *body;
	size_t body_spans;
	int64_t backoff_us;
	bool refusal_logged;
};

/**
 * enum post_result - result of the post of a batch.
 * @POST_DONE: delivered
 * @POST_RETRY: failed, to be retried
 * @POST_REFUSED: refused by the collector, a retry would not help
 */
enum post_result {
	POST_DONE,
	POST_RETRY,
	POST_REFUSED,
};

static size_t discard(const void *data, size_t size, size_t nr, void *user)
{
	(void)data;
	(void)user;
	return size * nr;
}

/* Status codes that OTLP/HTTP defines as retryable. */
static bool is_retryable(long status)
{
	return status == 429 || status == 502 || status == 503 || status == 504;
}

static enum post_result post(struct bb_tracer *t, long timeout_ms)
{
	long status = 0;
	CURLcode code;

	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->body);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE, (long)strlen(t->body));
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	code = curl_easy_perform(t->easy);
	if (code != CURLE_OK) {
		bb_log(BB_LOG_TRACE, G_LOG_LEVEL_DEBUG, NULL,
		       "cannot post spans: %s", curl_easy_strerror(code));
		return POST_RETRY;
	}
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	if (is_retryable(status))
		return POST_RETRY;
	if (status >= 200 && status < 300) {
		t->refusal_logged = false;
		return POST_DONE;
	}
	/* Logged once until the next success, not for each batch. */
	if (!t->refusal_logged)
		bb_log_warning(BB_LOG_TRACE,
			       "collector refused spans with status %ld",
			       status);
	t->refusal_logged = true;
	return POST_REFUSED;
}

static void free_body(struct bb_tracer *t)
{
	free(t->body);
	t->body = NULL;
	t->body_spans = 0;
}

/*
 * Encodes the next batch, unless the last one is still to be retried.
 *
 * Return: false if there is nothing to post.
 */
static bool fill_body(struct bb_tracer *t)
{
	struct bb_span **spans;
	void *entry;
	size_t nr = 0;

	if (t->body)
		return true;
	spans = g_new(struct bb_span *, t->o.batch_max);
	while (nr < t->o.batch_max && bb_ring_pop(t->ring, &entry))
		spans[nr++] = entry;
	if (nr) {
		t->body = bb_otlp_json(t->host, spans, nr,
				       bb_clock_wall_us() - bb_clock_now_us());
		t->body_spans = nr;
	}
	for (size_t i = 0; i < nr; i++)
		g_free(spans[i]);
	g_free(spans);
	return nr > 0;
}

static void count_lost(size_t nr)
{
	bb_metrics_add(BB_METRIC_SPANS_LOST, nr);
}

static void increase_backoff(struct bb_tracer *t)
{
	int64_t max_us = t->o.backoff_us * BACKOFF_MAX_FACTOR;

	if (!t->backoff_us)
		bb_log_warning(
			BB_LOG_TRACE,
			"collector does not accept spans; retrying with backoff");
	t->backoff_us = t->backoff_us ? MIN(2 * t->backoff_us, max_us) :
					t->o.backoff_us;
}

/* Posts batches until the queue is empty or a post is to be retried. */
static void post_all(struct bb_tracer *t)
{
	while (fill_body(t)) {
		enum post_result result = post(t, POST_TIMEOUT_MS);

		if (result == POST_RETRY) {
			increase_backoff(t);
			return;
		}
		if (result == POST_REFUSED)
			count_lost(t->body_spans);
		if (t->backoff_us)
			bb_log_info(BB_LOG_TRACE, "collector answers again");
		t->backoff_us = 0;
		free_body(t);
	}
}

/*
 * Posts the queue until it is empty, a post fails or flush_us have passed. The
 * remaining spans are dropped and counted.
 */
static void flush(struct bb_tracer *t)
{
	int64_t until_us = t->stop_us + t->o.flush_us;

	while (fill_body(t)) {
		int64_t left_us = until_us - bb_clock_now_us();
		long timeout_ms = (long)(left_us / BB_US_PER_MS);

		if (timeout_ms <= 0 ||
		    post(t, MIN(timeout_ms, POST_TIMEOUT_MS)) != POST_DONE)
			break;
		free_body(t);
	}
	while (fill_body(t)) {
		count_lost(t->body_spans);
		free_body(t);
	}
}

/* Return: false if the tracer is stopping. */
static bool wait_for(struct bb_tracer *t, int64_t us)
{
	struct timespec until;
	bool stopping;

	clock_gettime(CLOCK_MONOTONIC, &until);
	us += until.tv_nsec / 1000;
	until.tv_sec += us / BB_US_PER_S;
	until.tv_nsec = us % BB_US_PER_S * 1000;
	pthread_mutex_lock(&t->mutex);
	while (!t->stopping &&
	       pthread_cond_timedwait(&t->wake, &t->mutex, &until) != ETIMEDOUT)
		;
	stopping = t->stopping;
	pthread_mutex_unlock(&t->mutex);
	return !stopping;
}

static void *run(void *data)
{
	struct bb_tracer *t = data;

	while (wait_for(t, t->backoff_us ? t->backoff_us : t->o.interval_us))
		post_all(t);
	flush(t);
	return NULL;
}

static int set_up_curl(struct bb_tracer *t, struct bb_error *err)
{
	t->easy = curl_easy_init();
	if (!t->easy)
		return bb_error_set(err, BB_ERROR_NO_MEMORY,
				    "cannot create libcurl handle");
	t->headers = curl_slist_append(NULL, "Content-Type: application/json");
	t->headers = curl_slist_append(t->headers, "Expect:");
	curl_easy_setopt(t->easy, CURLOPT_URL, t->url);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(t->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(t->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, discard);
	return 0;
}

static void set_defaults(struct bb_tracer_options *o)
{
	if (!o->capacity)
		o->capacity = DEFAULT_CAPACITY_SPANS;
	if (!o->batch_max)
		o->batch_max = DEFAULT_BATCH_MAX_SPANS;
	if (!o->interval_us)
		o->interval_us = DEFAULT_INTERVAL_US;
	if (!o->backoff_us)
		o->backoff_us = DEFAULT_BACKOFF_US;
	if (!o->flush_us)
		o->flush_us = DEFAULT_FLUSH_US;
}

static void free_tracer(struct bb_tracer *t)
{
	curl_easy_cleanup(t->easy);
	curl_slist_free_all(t->headers);
	pthread_cond_destroy(&t->wake);
	pthread_mutex_destroy(&t->mutex);
	bb_ring_delete(t->ring);
	g_free(t->url);
	g_free(t->host);
	g_free(t);
}

struct bb_tracer *bb_tracer_new(const struct bb_tracer_options *o,
				struct bb_error *err)
{
	struct bb_tracer *t = g_new0(struct bb_tracer, 1);
	pthread_condattr_t attributes;

	t->o = *o;
	set_defaults(&t->o);
	t->url = g_strdup(o->url);
	t->host = g_strdup(o->host);
	t->ring = bb_ring_new(t->o.capacity);
	pthread_mutex_init(&t->mutex, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&t->wake, &attributes);
	pthread_condattr_destroy(&attributes);
	if (set_up_curl(t, err)) {
		free_tracer(t);
		return NULL;
	}
	if (pthread_create(&t->thread, NULL, run, t)) {
		bb_error_set(err, BB_ERROR_IO, "cannot start trace thread");
		free_tracer(t);
		return NULL;
	}
	return t;
}

/* Decides by the trace id alone, so that the result is the same everywhere. */
static bool is_sampled(const struct bb_tracer *t, const uint8_t *trace_id)
{
	uint64_t n;

	memcpy(&n, trace_id, sizeof(n));
	return ldexp((double)n, -64) < t->o.ratio;
}

bool bb_tracer_context(const struct bb_tracer *t, const char *traceparent,
		       size_t size, struct bb_trace_context *c)
{
	memset(c, 0, sizeof(*c));
	if (bb_traceparent_parse(traceparent, size, c))
		return true;
	if (!t)
		return false;
	randombytes_buf(c->trace_id, sizeof(c->trace_id));
	c->sampled = t->o.ratio >= 1 || is_sampled(t, c->trace_id);
	return true;
}

struct bb_span *bb_span_begin(struct bb_tracer *t, const char *name,
			      enum bb_span_kind kind,
			      struct bb_trace_context *c, int64_t start_us)
{
	static const uint8_t none[BB_SPAN_ID_SIZE];
	bool has_parent = memcmp(c->span_id, none, sizeof(none)) != 0;
	struct bb_span *s;

	if (!t)
		return NULL;
	if (!c->sampled) {
		/* A traceparent needs a parent id, even if the trace is not
		 * sampled. */
		if (!has_parent)
			randombytes_buf(c->span_id, sizeof(c->span_id));
		return NULL;
	}
	s = g_new0(struct bb_span, 1);
	s->name = name;
	s->kind = kind;
	s->start_us = start_us;
	s->has_parent = has_parent;
	memcpy(s->parent_id, c->span_id, sizeof(s->parent_id));
	randombytes_buf(c->span_id, sizeof(c->span_id));
	s->context = *c;
	return s;
}

void bb_span_set_attribute(struct bb_span *s, enum bb_span_attribute which,
			   const char *text, size_t size)
{
	if (!s || !size)
		return;
	size = MIN(size, sizeof(s->attributes[which]) - 1);
	memcpy(s->attributes[which], text, size);
	s->attributes[which][size] = '\0';
}

void bb_span_end(struct bb_tracer *t, struct bb_span *s,
		 enum bb_verdict verdict, enum bb_reason reason,
		 unsigned int status, int64_t end_us)
{
	if (!s)
		return;
	s->verdict = verdict;
	s->reason = reason;
	s->status = status;
	s->end_us = end_us;
	if (bb_ring_push(t->ring, s))
		return;
	count_lost(1);
	g_free(s);
}

void bb_tracer_delete(struct bb_tracer *t)
{
	if (!t)
		return;
	pthread_mutex_lock(&t->mutex);
	t->stopping = true;
	t->stop_us = bb_clock_now_us();
	pthread_cond_signal(&t->wake);
	pthread_mutex_unlock(&t->mutex);
	pthread_join(t->thread, NULL);
	free_tracer(t);
}
