/*
 * Stand-in of a backend server for tests and the demo.
 *
 * Answers each path with a small JSON document, which has the size of the body
 * and its XXH3 checksum, and counts the executions of each X-Test-Id. With ?padding=N the answer also has N bytes of padding and
 * their XXH3 checksum, with ?header=N a header X-Padding of N bytes.
 *
 * POST /standin/mode?delay_ms=N&status=N&percent=N&truncate=1 makes that
 * percentage of the requests slow, failing or truncated; hold=1 holds all
 * requests until the mode is set without it; reset=1 clears the counts. GET
 * /standin/log lists the execution counts, and whether an Authorization header
 * was ever received.
 *
 * Each execution with an X-Test-Id is written to standard output when it
 * begins, as "NAME MICROSECONDS ID" on the clock of bb_clock_now_us(), so that
 * the log is complete even if the stand-in is killed.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"

/* Largest N of ?padding=N; larger ones are reduced to it. */
#define PADDING_MAX_BYTES (16u << 20)

/**
 * struct standin - counts and mode, guarded by @lock.
 * @executions: number of executions by X-Test-Id
 * @total: executions with an X-Test-Id since the last reset
 * @requests: all requests, including probes of nodes and exports of spans
 * @in_flight: requests that are being executed
 * @most_in_flight: greatest value of @in_flight so far
 * @delay_ms: delay of an answer with a fault
 * @status: HTTP status of an answer with a fault, 0 for 200
 * @percent: percentage of the requests that get the faults of the mode
 * @truncate: an answer with a fault is truncated
 * @hold: requests wait for @released
 * @released: signalled when the mode is set
 */
struct standin {
	const char *name;
	pthread_mutex_t lock;
	GHashTable *executions;
	unsigned int total;
	unsigned int requests;
	unsigned int in_flight;
	unsigned int most_in_flight;
	bool saw_authorization;
	unsigned int delay_ms;
	unsigned int status;
	unsigned int percent;
	bool truncate;
	bool hold;
	pthread_cond_t released;
	GRand *random;
};

/* Request that is being received. */
struct exchange {
	GString *body;
};

static unsigned int argument(struct MHD_Connection *c, const char *name,
			     unsigned int fallback)
{
	const char *v =
		MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, name);

	return v ? (unsigned int)strtoul(v, NULL, 10) : fallback;
}

/* Adds the header of ?header=N. */
static void add_padding_header(struct MHD_Connection *c, struct MHD_Response *r)
{
	unsigned int n = MIN(argument(c, "header", 0), PADDING_MAX_BYTES);
	char *value;

	if (!n)
		return;
	value = g_strnfill(n, 'x');
	MHD_add_response_header(r, "X-Padding", value);
	g_free(value);
}

static enum MHD_Result respond(struct MHD_Connection *c, unsigned int status,
			       char *body)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(body), body, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result rc;

	MHD_add_response_header(r, "Content-Type", "application/json");
	add_padding_header(c, r);
	rc = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
	return rc;
}

static enum MHD_Result set_mode(struct standin *s, struct MHD_Connection *c)
{
	pthread_mutex_lock(&s->lock);
	s->delay_ms = argument(c, "delay_ms", 0);
	s->status = argument(c, "status", 0);
	s->percent = argument(c, "percent", 100);
	s->truncate = argument(c, "truncate", 0) != 0;
	s->hold = argument(c, "hold", 0) != 0;
	pthread_cond_broadcast(&s->released);
	if (argument(c, "reset", 0)) {
		g_hash_table_remove_all(s->executions);
		s->total = 0;
	}
	pthread_mutex_unlock(&s->lock);
	return respond(c, 200, strdup("{}"));
}

static enum MHD_Result write_log(struct standin *s, struct MHD_Connection *c)
{
	json_t *o = json_object();
	json_t *ids = json_object();
	GHashTableIter i;
	gpointer key, value;
	char *text;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&i, s->executions);
	while (g_hash_table_iter_next(&i, &key, &value))
		json_object_set_new(ids, key,
				    json_integer(GPOINTER_TO_UINT(value)));
	json_object_set_new(o, "name", json_string(s->name));
	json_object_set_new(o, "total", json_integer(s->total));
	json_object_set_new(o, "requests", json_integer(s->requests));
	json_object_set_new(o, "most_in_flight",
			    json_integer(s->most_in_flight));
	json_object_set_new(o, "saw_authorization",
			    json_boolean(s->saw_authorization));
	json_object_set_new(o, "executions", ids);
	pthread_mutex_unlock(&s->lock);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return respond(c, 200, text);
}

/* Sends 10 of the announced 1000 bytes, then closes the connection. */
static ssize_t send_truncated(void *data, uint64_t position, char *buffer,
			      size_t max)
{
	(void)data;
	if (position >= 10 || max < 10)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	memset(buffer, 'x', 10);
	return 10;
}

static enum MHD_Result respond_truncated(struct MHD_Connection *c)
{
	struct MHD_Response *r = MHD_create_response_from_callback(
		1000, 64, send_truncated, NULL, NULL);
	enum MHD_Result rc = MHD_queue_response(c, 200, r);

	MHD_destroy_response(r);
	return rc;
}

/* Returns the JSON members for ?padding=N, or an empty string without it. */
static char *make_padding(struct standin *s, struct MHD_Connection *c)
{
	unsigned int n = MIN(argument(c, "padding", 0), PADDING_MAX_BYTES);
	char *padding, *members;

	if (!n)
		return g_strdup("");
	padding = g_malloc(n + 1);
	pthread_mutex_lock(&s->lock);
	for (unsigned int i = 0; i < n; i++)
		padding[i] = (char)g_rand_int_range(s->random, 'a', 'z' + 1);
	pthread_mutex_unlock(&s->lock);
	padding[n] = '\0';
	members = g_strdup_printf(",\"checksum\":\"%016" G_GINT64_MODIFIER
				  "x\",\"padding\":\"%s\"",
				  (guint64)XXH3_64bits(padding, n), padding);
	g_free(padding);
	return members;
}

static enum MHD_Result execute(struct standin *s, struct MHD_Connection *c,
			       const char *method, const char *url,
			       const GString *body)
{
	const char *id =
		MHD_lookup_connection_value(c, MHD_HEADER_KIND, "X-Test-Id");
	unsigned int delay_ms, status;
	bool truncate, has_fault;
	char *padding, *answer;

	pthread_mutex_lock(&s->lock);
	s->requests++;
	s->in_flight++;
	s->most_in_flight = MAX(s->most_in_flight, s->in_flight);
	if (id) {
		gpointer n = g_hash_table_lookup(s->executions, id);

		g_hash_table_replace(s->executions, g_strdup(id),
				     GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
		s->total++;
		printf("%s %" G_GINT64_FORMAT " %s\n", s->name,
		       bb_clock_now_us(), id);
		fflush(stdout);
	}
	if (MHD_lookup_connection_value(c, MHD_HEADER_KIND, "Authorization"))
		s->saw_authorization = true;
	has_fault = g_rand_int_range(s->random, 0, 100) < (gint32)s->percent;
	delay_ms = has_fault ? s->delay_ms : 0;
	status = has_fault && s->status ? s->status : 200;
	truncate = has_fault && s->truncate;
	while (s->hold)
		pthread_cond_wait(&s->released, &s->lock);
	pthread_mutex_unlock(&s->lock);
	if (delay_ms)
		g_usleep(delay_ms * 1000UL);
	pthread_mutex_lock(&s->lock);
	s->in_flight--;
	pthread_mutex_unlock(&s->lock);
	if (truncate)
		return respond_truncated(c);
	padding = make_padding(s, c);
	answer = g_strdup_printf("{\"backend\":\"%s\",\"method\":\"%s\","
				 "\"path\":\"%s\",\"id\":\"%s\","
				 "\"bytes\":%zu,"
				 "\"body_checksum\":\"%016" G_GINT64_MODIFIER
				 "x\"%s}",
				 s->name, method, url, id ? id : "", body->len,
				 (guint64)XXH3_64bits(body->str, body->len),
				 padding);
	g_free(padding);
	return respond(c, status, answer);
}

static enum MHD_Result on_request(void *data, struct MHD_Connection *c,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **request)
{
	struct standin *s = data;
	struct exchange *x = *request;

	(void)version;
	if (!x) {
		x = g_new0(struct exchange, 1);
		x->body = g_string_new(NULL);
		*request = x;
		return MHD_YES;
	}
	if (*upload_size) {
		g_string_append_len(x->body, upload, (gssize)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (!strcmp(url, "/standin/mode"))
		return set_mode(s, c);
	if (!strcmp(url, "/standin/log"))
		return write_log(s, c);
	return execute(s, c, method, url, x->body);
}

static void on_completed(void *data, struct MHD_Connection *c, void **request,
			 enum MHD_RequestTerminationCode why)
{
	struct exchange *x = *request;

	(void)data;
	(void)c;
	(void)why;
	if (!x)
		return;
	g_string_free(x->body, TRUE);
	g_free(x);
}

int main(int argc, char **argv)
{
	struct standin s = { .percent = 100 };
	struct sockaddr_in in = { .sin_family = AF_INET };
	struct MHD_Daemon *d;
	sigset_t stop;
	int received;

	if (argc < 3 || argc > 4 ||
	    !inet_aton(argc > 3 ? argv[3] : "127.0.0.1", &in.sin_addr)) {
		fprintf(stderr, "usage: %s NAME PORT [ADDRESS]\n", argv[0]);
		return 2;
	}
	sigemptyset(&stop);
	sigaddset(&stop, SIGTERM);
	sigaddset(&stop, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop, NULL);
	s.name = argv[1];
	s.random = g_rand_new_with_seed(1);
	s.executions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pthread_mutex_init(&s.lock, NULL);
	pthread_cond_init(&s.released, NULL);
	in.sin_port = htons((uint16_t)strtoul(argv[2], NULL, 10));
	d = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		0, NULL, NULL, on_request, &s, MHD_OPTION_SOCK_ADDR, &in,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, &s, MHD_OPTION_END);
	if (!d) {
		fprintf(stderr, "cannot listen on port %s\n", argv[2]);
		return 1;
	}
	sigwait(&stop, &received);
	pthread_mutex_lock(&s.lock);
	s.hold = false;
	pthread_cond_broadcast(&s.released);
	pthread_mutex_unlock(&s.lock);
	MHD_stop_daemon(d);
	g_hash_table_destroy(s.executions);
	g_rand_free(s.random);
	return 0;
}
