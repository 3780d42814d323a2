/*
 * Load generator: sends requests at a fixed rate, whether or not earlier ones
 * are answered (open loop), and prints the number of requests by status and
 * verdict, and the latencies.
 *
 * Each request carries a unique X-Test-Id, which the backend server stand-in
 * counts. A booking uses a new connection, because libcurl repeats a request by
 * itself if a reused connection turns out to be closed. A lookup that libcurl
 * sent twice counts as failed, because its answer says nothing about the first
 * copy. A refused connection is retried at the next URL, provided that the
 * request was not sent before. No other request is repeated than a booking with
 * an Idempotency-Key whose outcome is unknown: it is sent again with the same
 * key to the next URL (--keyed, --repeats).
 *
 * With --padding, an answer with status 200 must be the stand-in's answer to
 * this request: with the same test id, the size of the body that was sent, and
 * padding of the requested size with a correct checksum.
 */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"

/* Limits of the options, as a protection against mistyped ones. */
#define REQUESTS_MAX 2000000
#define DURATION_MAX_S 3600
#define CONNECTIONS_MAX 2000
#define RATE_MAX 100000
/* Refused connections after which a request counts as failed. */
#define CONNECT_ATTEMPTS_MAX 10u
/* Delay before a refused connection is retried. */
#define CONNECT_RETRY_DELAY_US (20 * BB_US_PER_MS)
/* Delay before a booking with a key is repeated. */
#define BOOKING_REPEAT_DELAY_US (200 * BB_US_PER_MS)
#define REPEATS_MAX 9
/* Below the 64 KiB that routes accept as request and as response body. */
#define PADDING_MAX_BYTES 60000
#define VERDICT_SIZE 32

enum {
	EXIT_ANSWERED = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2,
};

static char **urls;
static char **keys;
static int rate = 100;
static int duration_s = 10;
static int connections = 50;
static int bookings_percent = 10;
static int timeout_ms = 10000;
static int seed = 1;
static int keyed_percent = 0;
static int repeats = 2;
static int padding_max = 0;
static char *lookup_path = NULL;
static char *booking_path = NULL;
static char *id_prefix = NULL;
static gboolean want_json;
static gboolean want_each;

static const GOptionEntry entries[] = {
	{ "url", 'u', 0, G_OPTION_ARG_STRING_ARRAY, (void *)&urls,
	  "base URL of an entry node; may be repeated", "URL" },
	{ "key", 'k', 0, G_OPTION_ARG_STRING_ARRAY, (void *)&keys,
	  "key of a client account; may be repeated", "KEY" },
	{ "rate", 'r', 0, G_OPTION_ARG_INT, &rate, "requests per second", "N" },
	{ "duration", 'd', 0, G_OPTION_ARG_INT, &duration_s,
	  "time during which requests start", "SECONDS" },
	{ "connections", 'c', 0, G_OPTION_ARG_INT, &connections,
	  "limit on requests in flight", "N" },
	{ "bookings", 'b', 0, G_OPTION_ARG_INT, &bookings_percent,
	  "share of bookings (non-idempotent requests)", "PERCENT" },
	{ "timeout-ms", 't', 0, G_OPTION_ARG_INT, &timeout_ms,
	  "time-out of a request", "MS" },
	{ "seed", 's', 0, G_OPTION_ARG_INT, &seed, "seed of the random choices",
	  "N" },
	{ "lookup-path", 0, 0, G_OPTION_ARG_STRING, (void *)&lookup_path,
	  "target of lookups, by default /profiles/7", "PATH" },
	{ "booking-path", 0, 0, G_OPTION_ARG_STRING, (void *)&booking_path,
	  "target of bookings, by default /orders", "PATH" },
	{ "id-prefix", 0, 0, G_OPTION_ARG_STRING, (void *)&id_prefix,
	  "start of each X-Test-Id, by default load", "TEXT" },
	{ "keyed", 0, 0, G_OPTION_ARG_INT, &keyed_percent,
	  "share of bookings with an Idempotency-Key", "PERCENT" },
	{ "repeats", 0, 0, G_OPTION_ARG_INT, &repeats,
	  "limit on repeats of such a booking with an unknown outcome", "N" },
	{ "padding", 0, 0, G_OPTION_ARG_INT, &padding_max,
	  "check answers that are padded up to this size, 0 for no check",
	  "BYTES" },
	{ "json", 'j', 0, G_OPTION_ARG_NONE, &want_json, "print JSON", NULL },
	{ "each", 'e', 0, G_OPTION_ARG_NONE, &want_each,
	  "print a line \"ID STATUS VERDICT MICROSECONDS\" for each request; "
	  "with --padding also \"START_US URL_NUMBER ANSWER\", ANSWER being "
	  "ok, wrong or -",
	  NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

/**
 * struct transfer - request, with all its attempts; reused when it has ended.
 * @id_base: X-Test-Id without the number of the attempt; also the
 *           Idempotency-Key
 * @id: X-Test-Id
 * @verdict: header Baobabward-Verdict of the answer, empty without one
 * @booking: booking (non-idempotent) instead of a lookup
 * @keyed: booking with an Idempotency-Key
 * @attempt: number of the attempt, from 0
 * @key: key of the client account, or NULL
 * @padding: size of the body and of the padding in bytes, 0 for no check
 * @body: body of the answer
 * @url: index of the entry node's URL
 * @connect_attempts: connections tried in this attempt
 * @send_count: how often libcurl sent the request in this attempt
 * @due_us: time at which the request was due by the rate
 * @started_us: time at which the attempt was started
 * @retry_us: time of the next attempt of a waiting transfer
 */
struct transfer {
	struct load *load;
	CURL *easy;
	struct curl_slist *headers;
	char id_base[96];
	char id[112];
	char verdict[VERDICT_SIZE];
	bool booking;
	bool keyed;
	unsigned int attempt;
	const char *key;
	unsigned int padding;
	GString *body;
	guint url;
	unsigned int connect_attempts;
	unsigned int send_count;
	int64_t due_us;
	int64_t started_us;
	int64_t retry_us;
};

/**
 * struct load - state of a run.
 * @idle: transfers without a request
 * @waiting: transfers that wait for their retry_us
 * @results: number of attempts by status and verdict, or by failure
 * @latencies: microseconds from start to answer, for each answered attempt
 * @total: requests to send
 * @started: requests started
 * @finished: requests ended
 * @failed: attempts without an answer
 * @refused_connections: refused connections that were retried
 * @max_start_delay_us: longest time from due_us to the start of a request
 */
struct load {
	CURLM *multi;
	GRand *random;
	GPtrArray *idle;
	GPtrArray *waiting;
	GHashTable *results;
	GArray *latencies;
	int64_t begin_us;
	guint total;
	guint started;
	guint finished;
	guint failed;
	guint refused_connections;
	int64_t max_start_delay_us;
};

static size_t on_body(const char *data, size_t size, size_t nr, void *user)
{
	struct transfer *t = user;

	if (padding_max)
		g_string_append_len(t->body, data, (gssize)(size * nr));
	return size * nr;
}

/* The answer to a booking with a key may carry the id of another attempt. */
static bool is_expected_id(const struct transfer *t, const char *id)
{
	size_t n = strlen(t->id_base);

	if (!t->keyed)
		return !strcmp(id, t->id);
	return !strncmp(id, t->id_base, n) && id[n] == '.';
}

static bool is_expected_answer(const struct transfer *t)
{
	json_t *o = json_loadb(t->body->str, t->body->len, 0, NULL);
	const char *id = "", *padding = "", *checksum = "";
	char expected[17];
	int bytes = -1;
	bool matches;

	json_unpack(o, "{s:s, s:i, s:s, s:s}", "id", &id, "bytes", &bytes,
		    "padding", &padding, "checksum", &checksum);
	g_snprintf(expected, sizeof(expected), "%016" G_GINT64_MODIFIER "x",
		   (guint64)XXH3_64bits(padding, strlen(padding)));
	matches = is_expected_id(t, id) && strlen(padding) == t->padding &&
		  !strcmp(checksum, expected) &&
		  bytes == (t->booking ? (int)t->padding : 0);
	json_decref(o);
	return matches;
}

/* Counts how often libcurl sends the request; it repeats some by itself. */
static int on_debug(CURL *easy, curl_infotype type, const char *data,
		    size_t size, void *user)
{
	struct transfer *t = user;

	(void)easy;
	(void)data;
	(void)size;
	if (type == CURLINFO_HEADER_OUT)
		t->send_count++;
	return 0;
}

static size_t on_header(char *data, size_t size, size_t nr, void *user)
{
	static const char name[] = "baobabward-verdict:";
	struct transfer *t = user;
	size_t n = size * nr;
	char *value;

	if (n < sizeof(name) ||
	    g_ascii_strncasecmp(data, name, sizeof(name) - 1))
		return n;
	value = g_strndup(data + sizeof(name) - 1, n - sizeof(name) + 1);
	g_strlcpy(t->verdict, g_strstrip(value), sizeof(t->verdict));
	g_free(value);
	return n;
}

static void set_headers(struct transfer *t)
{
	char line[512];

	curl_slist_free_all(t->headers);
	t->headers = curl_slist_append(NULL, "Expect:");
	g_snprintf(line, sizeof(line), "X-Test-Id: %s", t->id);
	t->headers = curl_slist_append(t->headers, line);
	if (t->keyed) {
		g_snprintf(line, sizeof(line), "Idempotency-Key: %s",
			   t->id_base);
		t->headers = curl_slist_append(t->headers, line);
	}
	if (!t->key)
		return;
	g_snprintf(line, sizeof(line), "Authorization: Bearer %s", t->key);
	t->headers = curl_slist_append(t->headers, line);
}

static char *request_url(const struct transfer *t)
{
	const char *path = t->booking ? booking_path : lookup_path;

	if (!padding_max)
		return g_strconcat(urls[t->url], path, NULL);
	return g_strdup_printf("%s%s?padding=%u", urls[t->url], path,
			       t->padding);
}

static void set_booking(const struct transfer *t)
{
	char *body = padding_max ? g_strnfill(t->padding, 'x') :
				   g_strdup("item=1");

	curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(t->easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(t->easy, CURLOPT_COPYPOSTFIELDS, body);
	g_free(body);
}

static void send_transfer(struct transfer *t)
{
	CURL *c = t->easy;
	char *url = request_url(t);

	g_string_truncate(t->body, 0);
	curl_easy_reset(c);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_PRIVATE, t);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(c, CURLOPT_VERBOSE, 1L);
	curl_easy_setopt(c, CURLOPT_DEBUGFUNCTION, on_debug);
	curl_easy_setopt(c, CURLOPT_DEBUGDATA, t);
	if (t->booking)
		set_booking(t);
	t->send_count = 0;
	t->started_us = bb_clock_now_us();
	curl_multi_add_handle(t->load->multi, c);
	g_free(url);
}

static void start_transfer(struct load *l, int64_t due_us)
{
	struct transfer *t =
		g_ptr_array_steal_index_fast(l->idle, l->idle->len - 1);

	guint keys_nr = keys ? g_strv_length(keys) : 0;

	t->booking = g_rand_int_range(l->random, 0, 100) < bookings_percent;
	t->keyed = t->booking && keyed_percent &&
		   g_rand_int_range(l->random, 0, 100) < keyed_percent;
	t->padding = padding_max ?
			     (unsigned int)g_rand_int_range(l->random, 1,
							    padding_max + 1) :
			     0;
	t->key = keys_nr ? keys[l->started % keys_nr] : NULL;
	t->attempt = 0;
	t->url = l->started % g_strv_length(urls);
	t->connect_attempts = 1;
	t->due_us = due_us;
	g_snprintf(t->id_base, sizeof(t->id_base), "%s-%c-%u", id_prefix,
		   t->keyed   ? 'k' :
		   t->booking ? 'b' :
				'l',
		   l->started);
	g_snprintf(t->id, sizeof(t->id), "%s%s", t->id_base,
		   t->keyed ? ".0" : "");
	t->verdict[0] = '\0';
	set_headers(t);
	l->started++;
	send_transfer(t);
	l->max_start_delay_us =
		MAX(l->max_start_delay_us, t->started_us - due_us);
}

static void count_result(struct load *l, const char *name)
{
	gpointer n = g_hash_table_lookup(l->results, name);

	g_hash_table_replace(l->results, g_strdup(name),
			     GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static void print_each(const struct transfer *t, const char *name,
		       int64_t latency_us, bool complete, long status)
{
	const char *answer = "-";

	printf("%s %s %" G_GINT64_FORMAT, t->id, name, latency_us);
	if (complete && status == 200)
		answer = is_expected_answer(t) ? "ok" : "wrong";
	if (padding_max)
		printf(" %" G_GINT64_FORMAT " %u %s", t->started_us, t->url,
		       answer);
	putchar('\n');
}

/* Tells whether the outcome of a booking with a key is unknown, or a later
 * attempt may succeed. */
static bool needs_repeat(const struct transfer *t, CURLcode code, long status)
{
	return t->keyed && t->attempt < (unsigned int)repeats &&
	       (code != CURLE_OK || status == 409 || status == 429 ||
		status >= 500);
}

static void repeat_transfer(struct transfer *t)
{
	t->attempt++;
	t->connect_attempts = 1;
	t->verdict[0] = '\0';
	t->url = (t->url + 1) % g_strv_length(urls);
	g_snprintf(t->id, sizeof(t->id), "%s.%u", t->id_base, t->attempt);
	set_headers(t);
	t->retry_us = bb_clock_now_us() + BOOKING_REPEAT_DELAY_US;
	g_ptr_array_add(t->load->waiting, t);
}

static void finish_transfer(struct transfer *t, CURLcode code)
{
	struct load *l = t->load;
	int64_t latency_us = bb_clock_now_us() - t->started_us;
	long status = 0;
	char name[160];

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK) {
		g_snprintf(name, sizeof(name), "%ld %s", status,
			   t->verdict[0] ? t->verdict : "-");
		g_array_append_val(l->latencies, latency_us);
	} else {
		l->failed++;
		g_snprintf(name, sizeof(name), "failed: %s",
			   curl_easy_strerror(code));
	}
	count_result(l, name);
	if (want_each)
		print_each(t, name, latency_us, code == CURLE_OK, status);
	if (needs_repeat(t, code, status)) {
		repeat_transfer(t);
		return;
	}
	l->finished++;
	g_ptr_array_add(l->idle, t);
}

static void end_transfer(struct transfer *t, CURLcode code)
{
	struct load *l = t->load;

	curl_multi_remove_handle(l->multi, t->easy);
	if (t->send_count > 1 ||
	    (t->send_count && code == CURLE_COULDNT_CONNECT))
		code = CURLE_GOT_NOTHING;
	if (code == CURLE_COULDNT_CONNECT &&
	    t->connect_attempts < CONNECT_ATTEMPTS_MAX) {
		l->refused_connections++;
		t->connect_attempts++;
		t->url = (t->url + 1) % g_strv_length(urls);
		t->retry_us = bb_clock_now_us() + CONNECT_RETRY_DELAY_US;
		g_ptr_array_add(l->waiting, t);
		return;
	}
	finish_transfer(t, code);
}

static void handle_completed_transfers(struct load *l)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(l->multi, &left))) {
		CURLcode code = m->data.result;
		struct transfer *t;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &t);
		end_transfer(t, code);
	}
}

static void retry_waiting(struct load *l, int64_t now_us)
{
	for (guint i = l->waiting->len; i-- > 0;) {
		struct transfer *t = g_ptr_array_index(l->waiting, i);

		if (t->retry_us > now_us)
			continue;
		g_ptr_array_remove_index_fast(l->waiting, i);
		send_transfer(t);
	}
}

static int64_t due_time_us(const struct load *l)
{
	return l->begin_us + (int64_t)l->started * BB_US_PER_S / rate;
}

static void run(struct load *l)
{
	l->begin_us = bb_clock_now_us();
	while (l->finished < l->total) {
		int64_t now_us = bb_clock_now_us();
		int wait_ms = 1;
		int running;

		while (l->started < l->total && l->idle->len &&
		       due_time_us(l) <= now_us)
			start_transfer(l, due_time_us(l));
		retry_waiting(l, now_us);
		curl_multi_perform(l->multi, &running);
		handle_completed_transfers(l);
		if (l->started == l->total && !l->waiting->len)
			wait_ms = 100;
		if (l->finished < l->total)
			curl_multi_poll(l->multi, NULL, 0, wait_ms, NULL);
	}
}

static gint compare_latency(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x > *y) - (*x < *y);
}

static int64_t quantile(const struct load *l, double q)
{
	guint n = l->latencies->len;

	if (!n)
		return 0;
	return g_array_index(l->latencies, int64_t, (guint)(q * (n - 1)));
}

static void print_json(const struct load *l)
{
	json_t *results = json_object();
	json_t *o;
	GHashTableIter i;
	gpointer key, value;
	char *text;

	g_hash_table_iter_init(&i, l->results);
	while (g_hash_table_iter_next(&i, &key, &value))
		json_object_set_new(results, key,
				    json_integer(GPOINTER_TO_UINT(value)));
	o = json_pack("{s:i, s:i, s:i, s:I, s:o, s:{s:I, s:I, s:I}}",
		      "requests", (int)l->total, "failed", (int)l->failed,
		      "refused_connections", (int)l->refused_connections,
		      "start_delay_max_us", (json_int_t)l->max_start_delay_us,
		      "results", results, "latency_us", "p50",
		      (json_int_t)quantile(l, 0.5), "p99",
		      (json_int_t)quantile(l, 0.99), "max",
		      (json_int_t)quantile(l, 1.0));
	text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);
	puts(text);
	free(text);
	json_decref(o);
}

static void print_text(const struct load *l)
{
	GList *names = g_list_sort(g_hash_table_get_keys(l->results),
				   (GCompareFunc)g_strcmp0);

	printf("%-32s %9s\n", "status and verdict", "requests");
	for (GList *n = names; n; n = n->next)
		printf("%-32s %9u\n", (char *)n->data,
		       GPOINTER_TO_UINT(
			       g_hash_table_lookup(l->results, n->data)));
	printf("%-32s %9u\n", "connections refused, retried",
	       l->refused_connections);
	printf("latency in ms: p50 %.2f, p99 %.2f, max %.2f\n",
	       (double)quantile(l, 0.5) / BB_US_PER_MS,
	       (double)quantile(l, 0.99) / BB_US_PER_MS,
	       (double)quantile(l, 1.0) / BB_US_PER_MS);
	g_list_free(names);
}

static void load_init(struct load *l)
{
	l->total = (guint)rate * (guint)duration_s;
	l->multi = curl_multi_init();
	curl_multi_setopt(l->multi, CURLMOPT_MAXCONNECTS, (long)connections);
	l->random = g_rand_new_with_seed((guint32)seed);
	l->idle = g_ptr_array_new();
	l->waiting = g_ptr_array_new();
	l->results =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->latencies =
		g_array_sized_new(FALSE, FALSE, sizeof(int64_t), l->total);
	for (int i = 0; i < connections; i++) {
		struct transfer *t = g_new0(struct transfer, 1);

		t->load = l;
		t->body = g_string_new(NULL);
		t->easy = curl_easy_init();
		g_ptr_array_add(l->idle, t);
	}
}

static void load_finish(struct load *l)
{
	for (guint i = 0; i < l->idle->len; i++) {
		struct transfer *t = g_ptr_array_index(l->idle, i);

		curl_easy_cleanup(t->easy);
		curl_slist_free_all(t->headers);
		g_string_free(t->body, TRUE);
		g_free(t);
	}
	g_ptr_array_free(l->idle, TRUE);
	g_ptr_array_free(l->waiting, TRUE);
	g_hash_table_destroy(l->results);
	g_array_unref(l->latencies);
	g_rand_free(l->random);
	curl_multi_cleanup(l->multi);
}

static const char *check_options(void)
{
	if (!urls || !urls[0])
		return "--url is required";
	if (rate < 1 || rate > RATE_MAX)
		return "--rate must be from 1 to 100000";
	if (duration_s < 1 || duration_s > DURATION_MAX_S)
		return "--duration must be from 1 to 3600";
	if ((gint64)rate * duration_s > REQUESTS_MAX)
		return "--rate times --duration must not exceed 2000000";
	if (connections < 1 || connections > CONNECTIONS_MAX)
		return "--connections must be from 1 to 2000";
	if (bookings_percent < 0 || bookings_percent > 100)
		return "--bookings must be from 0 to 100";
	if (keyed_percent < 0 || keyed_percent > 100)
		return "--keyed must be from 0 to 100";
	if (repeats < 0 || repeats > REPEATS_MAX)
		return "--repeats must be from 0 to 9";
	if (padding_max < 0 || padding_max > PADDING_MAX_BYTES)
		return "--padding must be from 0 to 60000";
	if (timeout_ms < 1)
		return "--timeout-ms must be at least 1";
	return NULL;
}

static void set_default(char **value, const char *text)
{
	if (!*value)
		*value = g_strdup(text);
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	struct load l = { 0 };
	GError *error = NULL;
	const char *problem = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error))
		problem = error->message;
	else if (argc > 1)
		problem = "unexpected argument";
	else
		problem = check_options();
	if (problem) {
		fprintf(stderr, "load_generator: %s\n", problem);
		return EXIT_USAGE;
	}
	set_default(&lookup_path, "/profiles/7");
	set_default(&booking_path, "/orders");
	set_default(&id_prefix, "load");
	curl_global_init(CURL_GLOBAL_ALL);
	load_init(&l);
	run(&l);
	g_array_sort(l.latencies, compare_latency);
	if (want_json)
		print_json(&l);
	else
		print_text(&l);
	load_finish(&l);
	curl_global_cleanup();
	g_option_context_free(context);
	g_strfreev(urls);
	g_strfreev(keys);
	g_free(lookup_path);
	g_free(booking_path);
	g_free(id_prefix);
	return l.failed ? EXIT_FAILED : EXIT_ANSWERED;
}
